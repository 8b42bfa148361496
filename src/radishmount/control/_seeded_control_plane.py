"""What keeps an instance in step with a fleet that no platform lists."""

import asyncio
from dataclasses import dataclass
from random import Random

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.control._dependencies import OpenPeerFor
from radishmount.counters import Counters
from radishmount.discovery import EndpointGossip, StoreFollower
from radishmount.fleet import (
    Fleet,
    Freshness,
    Heartbeat,
    HeldVersions,
    Instance,
    Membership,
    MemberState,
    MemberTable,
    MemberUpdate,
    Peers,
    Roster,
    first_incarnation,
    is_watcher,
    make_freshness,
)
from radishmount.publication import ActivePublication, BundleDistribution, Publication
from radishmount.tasks import TaskSupervisor


__all__ = ["SeededControlPlane", "SeededControlPlaneDependencies", "make_seeded_control_plane"]

RENEWAL_LIMIT_MS = 500.0  # a hundred reads of the store; after that the old view must do


@dataclass(frozen=True, slots=True)
class SeededControlPlaneDependencies:
    """What the control is handed: `own` as others are told of it, and where some others may be."""

    own: Instance
    seeds: tuple[str, ...]
    clock: Clock
    random: Random
    open_peer_for: OpenPeerFor


@dataclass(slots=True)
class SeededControlPlane:
    """The roster, the streams to the neighbours, and what travels over them."""

    fleet: Fleet
    peers: Peers
    membership: Membership
    bundle_distribution: BundleDistribution
    roster: Roster
    endpoint_gossip: EndpointGossip
    active_publication: ActivePublication
    follower: StoreFollower
    freshness: Freshness
    tasks: TaskSupervisor

    def start(self) -> None:
        """Start to look for the others and to answer them."""
        self.membership.start()
        self.bundle_distribution.start()
        self.endpoint_gossip.start()
        self.roster.start()
        self.tasks.start("seeds", self.roster.run)
        self.tasks.start("forget", self.roster.run_expiry)
        self.tasks.start("probe random", self.membership.probe_random_instances)
        self.tasks.start("close idle", self.membership.close_idle_streams)
        self.tasks.start("tick", self.freshness.run)

    async def stop(self) -> None:
        """End every task and stream."""
        await self.tasks.stop()
        await self.freshness.stop()
        await self.bundle_distribution.stop()
        await self.endpoint_gossip.stop()
        await self.membership.stop()
        await self.peers.stop()

    def leave(self) -> None:
        """Say that this instance leaves."""
        self.fleet.members.set_own_state(MemberState.LEAVING, "asked to stop")

    async def renew(self) -> None:
        """Ask the store and every neighbour for what changed during a pause."""
        await asyncio.gather(self.follower.refresh(), self.membership.ping_neighbours())
        for fetching in (self.endpoint_gossip.fetch_task, self.bundle_distribution.fetch_task):
            if fetching is not None:
                await asyncio.wait([fetching])

    def held(self) -> HeldVersions:
        """Return the versions that this instance holds."""
        current = self.active_publication.current
        follower = self.follower
        return HeldVersions(
            current.version, current.digest, follower.last_change_revision, follower.age_ms()
        )

    def see_heartbeat(self, peer: str, beat: Heartbeat) -> None:
        """Compare the versions that a peer holds with those here."""
        self.endpoint_gossip.on_heartbeat(peer, beat)
        self.bundle_distribution.consider_offer(peer, beat.bundle_version, beat.bundle_digest)

    async def take_roster(self) -> None:
        """Keep streams to the neighbours of the new roster."""
        self.membership.update_neighbours()

    async def take_publication(self, publication: Publication) -> None:
        """Tell the neighbours of a new version."""
        self.membership.send_heartbeats()


def make_seeded_control_plane(
    parts: SeededControlPlaneDependencies,
    in_force: ActivePublication,
    follower: StoreFollower,
    audit: AuditTrail,
    counters: Counters,
) -> SeededControlPlane:
    """Return the control of an instance, not started yet."""
    clock, random, own = parts.clock, parts.random, parts.own
    incarnation = first_incarnation(clock.wall_ms(), random)
    members = MemberTable(MemberUpdate(own.name, incarnation, 0, MemberState.LIVE), own.data_centre)
    fleet = Fleet(own.name, own.data_centre, members)
    peers = Peers(fleet, parts.open_peer_for(members, counters), clock, counters)
    membership = Membership(
        fleet, peers, clock, random, audit, counters, held_versions=lambda: control.held()
    )

    def forget() -> None:
        members.clear_contacts()

    async def renew() -> None:
        await control.renew()

    follower.is_watcher = lambda: is_watcher(fleet)
    control = SeededControlPlane(
        fleet=fleet,
        peers=peers,
        membership=membership,
        bundle_distribution=BundleDistribution(in_force, peers, clock, counters),
        roster=Roster(own, parts.seeds, fleet, peers, clock, random, audit, counters),
        endpoint_gossip=EndpointGossip(follower, peers, clock, counters),
        active_publication=in_force,
        follower=follower,
        freshness=make_freshness(clock, audit, counters, forget, renew, RENEWAL_LIMIT_MS),
        tasks=TaskSupervisor(clock, audit, counters),
    )
    membership.on_heartbeat.append(control.see_heartbeat)
    in_force.on_change.append(control.take_publication)
    control.roster.on_change.append(control.take_roster)
    return control

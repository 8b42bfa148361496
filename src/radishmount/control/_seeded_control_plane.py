"""The control plane of an instance in a fleet that finds its instances by seed addresses."""

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

# Time for a hundred reads of the store. Requests that have waited that long use the old view.
SEEDED_REFRESH_TIMEOUT_MS = 500.0


@dataclass(frozen=True, slots=True)
class SeededControlPlaneDependencies:
    """What the instance passes to its control plane.

    `own` is the instance as its peers see it. `seeds` are addresses of possible peers.
    """

    own: Instance
    seeds: tuple[str, ...]
    clock: Clock
    random: Random
    open_peer_for: OpenPeerFor


@dataclass(slots=True)
class SeededControlPlane:
    """Follows the peers: the roster, the streams to neighbours and the gossip over them."""

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
        """Start to find the peers and to answer them."""
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
        """Announce to the peers that this instance leaves."""
        self.fleet.members.set_own_state(MemberState.LEAVING, "asked to stop")

    async def refresh(self) -> None:
        """Fetch what changed during a pause from the store and every neighbour."""
        await asyncio.gather(self.follower.refresh(), self.membership.ping_neighbours())
        for fetch_task in (self.endpoint_gossip.fetch_task, self.bundle_distribution.fetch_task):
            if fetch_task is not None:
                await asyncio.wait([fetch_task])

    def held_versions(self) -> HeldVersions:
        """Return the versions of this instance, for its heartbeats."""
        current = self.active_publication.current
        follower = self.follower
        return HeldVersions(
            current.version,
            current.digest,
            follower.last_change_position.revision,
            follower.age_ms(),
            follower.endpoints.digest,
        )

    def on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Compare the versions of a peer with those of this instance, and fetch newer ones."""
        self.endpoint_gossip.on_heartbeat(peer, heartbeat)
        self.bundle_distribution.consider_offer(
            peer, heartbeat.bundle_version, heartbeat.bundle_digest
        )

    async def apply_roster(self) -> None:
        """Connect to the neighbours by the new roster."""
        self.membership.update_neighbours()

    async def announce_publication(self, publication: Publication) -> None:
        """Send heartbeats with the new version to the neighbours at once."""
        self.membership.send_heartbeats()


def make_seeded_control_plane(
    dependencies: SeededControlPlaneDependencies,
    active_publication: ActivePublication,
    follower: StoreFollower,
    audit: AuditTrail,
    counters: Counters,
) -> SeededControlPlane:
    """Return the control plane of an instance. It is not started yet."""
    clock, random, own = dependencies.clock, dependencies.random, dependencies.own
    incarnation = first_incarnation(clock.wall_ms(), random)
    members = MemberTable(MemberUpdate(own.name, incarnation, 0, MemberState.LIVE), own.data_centre)
    fleet = Fleet(own.name, own.data_centre, members)
    peers = Peers(fleet, dependencies.open_peer_for(members, counters), clock, counters)
    peers.on_unreadable = lambda name, refusal: audit.record(
        f"peer/{name}", "unreadable message", cause=str(refusal)
    )
    membership = Membership(
        fleet,
        peers,
        clock,
        random,
        audit,
        counters,
        held_versions=lambda: control_plane.held_versions(),
    )

    def invalidate() -> None:
        members.clear_contacts()

    async def refresh() -> None:
        await control_plane.refresh()

    follower.is_watcher = lambda: is_watcher(fleet)
    control_plane = SeededControlPlane(
        fleet=fleet,
        peers=peers,
        membership=membership,
        bundle_distribution=BundleDistribution(
            active_publication, peers, clock, counters, fleet.is_near
        ),
        roster=Roster(own, dependencies.seeds, fleet, peers, clock, random, audit, counters),
        endpoint_gossip=EndpointGossip(follower, peers, clock, random, audit, counters),
        active_publication=active_publication,
        follower=follower,
        freshness=make_freshness(
            clock, audit, counters, invalidate, refresh, SEEDED_REFRESH_TIMEOUT_MS
        ),
        tasks=TaskSupervisor(clock, audit, counters),
    )
    membership.on_heartbeat.append(control_plane.on_heartbeat)
    active_publication.on_change.append(control_plane.announce_publication)
    control_plane.roster.on_change.append(control_plane.apply_roster)
    return control_plane

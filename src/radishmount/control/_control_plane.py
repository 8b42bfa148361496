"""The control plane of an instance in a fleet whose instances the platform lists."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from result import Result

from radishmount.audit import AuditTrail
from radishmount.codes import Refusal
from radishmount.control._dependencies import ControlPlaneDependencies
from radishmount.control._startup import Startup
from radishmount.counters import Counters
from radishmount.fleet import (
    ADDRESSES_VALID_FOR_MS,
    REFRESH_TIMEOUT_MS,
    Fleet,
    Freshness,
    Heartbeat,
    HeldVersions,
    InstanceList,
    InstanceListSync,
    InstanceListUpdater,
    Membership,
    MemberState,
    MemberTable,
    MemberUpdate,
    Peers,
    PlatformPoller,
    first_incarnation,
    make_freshness,
)
from radishmount.publication import (
    ActivePublication,
    BundleDistribution,
    Publication,
)
from radishmount.tasks import TaskSupervisor


__all__ = ["LEAVING_GRACE_MS", "ControlPlane", "make_control_plane"]

LEAVING_GRACE_MS = ADDRESSES_VALID_FOR_MS + 1_000.0


@dataclass(slots=True)
class ControlPlane:
    """Follows the platform and the peers: publications, instance lists and membership.

    It also refreshes the view after a pause of the process, and lets the instance leave.
    `on_invalidate` is called before such a refresh.
    """

    dependencies: ControlPlaneDependencies
    audit: AuditTrail
    counters: Counters
    fleet: Fleet
    active_publication: ActivePublication
    list_updater: InstanceListUpdater
    peers: Peers
    membership: Membership
    bundle_distribution: BundleDistribution
    list_sync: InstanceListSync
    bundle_poller: PlatformPoller
    list_poller: PlatformPoller
    freshness: Freshness
    startup: Startup
    tasks: TaskSupervisor
    on_invalidate: list[Callable[[], None]] = field(default_factory=list)
    poller_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    accepts_requests_until_ms: float | None = None

    @property
    def has_started(self) -> bool:
        """Return whether the platform and the peers were consulted since the start."""
        return self.startup.has_started

    def start(self) -> None:
        """Start polling the platform, the streams to peers and the other background tasks."""
        self.membership.start()
        self.bundle_distribution.start()
        self.list_sync.start()
        self._start_pollers()
        self.tasks.start("tick", self.freshness.run)
        self.tasks.start("start up", self.startup.run)
        self.tasks.start("seeds", self.startup.contact_seeds)
        self.tasks.start("probe random", self.membership.probe_random_instances)
        self.tasks.start("close idle", self.membership.close_idle_streams)

    async def stop(self) -> None:
        """End every task and stream, and close the connections to the platform."""
        await self.tasks.stop()
        await self.freshness.stop()  # before the pollers, because a refresh restarts them
        await _cancel(self.poller_tasks)
        await self.bundle_distribution.stop()
        await self.list_sync.stop()
        await self.membership.stop()
        await self.peers.stop()
        await self.dependencies.platform.close()

    def leave(self, grace_ms: float = LEAVING_GRACE_MS) -> None:
        """Announce that this instance leaves, once.

        It accepts requests for another `grace_ms`, because callers still use the addresses that
        they have.
        """
        if self.accepts_requests_until_ms is not None:
            return
        self.accepts_requests_until_ms = self.dependencies.clock.now_ms() + grace_ms
        self.fleet.members.set_own_state(MemberState.LEAVING, "asked to stop")

    def is_leaving(self) -> bool:
        """Return whether the instance leaves, so that callers should use others."""
        return self.accepts_requests_until_ms is not None

    def accepts_requests(self) -> bool:
        """Return whether new requests are accepted, which includes the grace period of a leave."""
        if not self.has_started:
            return False
        until_ms = self.accepts_requests_until_ms
        return until_ms is None or self.dependencies.clock.now_ms() < until_ms

    async def wait_until_fresh(self, timeout_ms: float | None) -> bool:
        """Wait for a refresh after a pause; return whether the view was fresh in time."""
        return await self.freshness.wait_until_fresh(timeout_ms or REFRESH_TIMEOUT_MS)

    def is_ready(self) -> bool:
        """Return whether callers may be sent to this instance."""
        return self.has_started and not self.is_leaving() and self.freshness.check()

    def set_load(self, load: float) -> None:
        """Set the load of this instance, by which peers learn whether it is overloaded."""
        self.fleet.members.update_own_load(load)

    def status(self) -> dict[str, Any]:
        """Return versions and peers for operators, in plain values."""
        publication = self.active_publication.current
        members = self.fleet.members
        states = {name: str(member.update.state) for name, member in members.by_name.items()}
        return {
            "incarnation": members.own.incarnation,
            "leaving": self.is_leaving(),
            "publication": {
                "version": publication.version,
                "digest": publication.digest,
                "age_ms": self.active_publication.age_ms(),
            },
            "instance_list": {"version": self.fleet.list_version, "names": self.fleet.listed_names},
            "peers": {"open": sorted(self.peers.sessions_by_name), "states": states},
        }

    def _start_pollers(self) -> None:
        platform = self.dependencies.platform

        async def read_bundle(wait_ms: int) -> Result[bytes | None, Refusal]:
            return await platform.bundle(self.active_publication.current.version, wait_ms)

        async def read_list(wait_ms: int) -> Result[InstanceList | None, Refusal]:
            return await platform.instance_list(self.fleet.list_version, wait_ms)

        async def apply_bundle(body: bytes) -> Any:
            return await self.active_publication.apply(body, source="platform")

        polls_by_name = {
            "watch configuration": self.bundle_poller.run(read_bundle, apply_bundle),
            "watch instances": self.list_poller.run(read_list, self.list_updater.apply),
        }
        for name, poll in polls_by_name.items():
            self.poller_tasks.append(asyncio.create_task(poll, name=name))

    def on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Compare the versions of a peer with those of this instance, and fetch newer ones."""
        self.list_sync.on_heartbeat(peer, heartbeat)
        self.bundle_distribution.consider_offer(
            peer, heartbeat.bundle_version, heartbeat.bundle_digest
        )

    def held_versions(self) -> HeldVersions:
        """Return the versions of this instance, for its heartbeats."""
        current = self.active_publication.current
        return HeldVersions(current.version, current.digest, self.fleet.list_version)

    async def announce_publication(self, publication: Publication) -> None:
        """Send heartbeats with the new version to the neighbours at once, and wake `startup`."""
        self.membership.progress.set()
        self.membership.send_heartbeats()

    async def apply_instance_list(self, instance_list: InstanceList) -> None:
        """Connect to the neighbours by a new list, send them its version, and wake `startup`."""
        self.membership.update_neighbours()
        self.membership.progress.set()
        self.membership.send_heartbeats()

    def invalidate(self) -> None:
        """Clear the times of last contact with peers after a pause, and call `on_invalidate`."""
        self.fleet.members.clear_contacts()
        for notify in self.on_invalidate:
            notify()

    async def refresh(self) -> None:
        """Fetch what changed during a pause from the platform and every neighbour."""
        await _cancel(self.poller_tasks)
        self.poller_tasks.clear()
        self._start_pollers()
        await asyncio.gather(
            self.membership.ping_neighbours(),
            self.list_poller.first_read.wait(),
            self.bundle_poller.first_read.wait(),
        )
        await self.startup.wait_for_fetches()


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def make_control_plane(
    dependencies: ControlPlaneDependencies, audit: AuditTrail, counters: Counters
) -> ControlPlane:
    """Return the control plane of an instance. It is not started yet."""
    clock, random = dependencies.clock, dependencies.random
    incarnation = first_incarnation(clock.wall_ms(), random)
    own = MemberUpdate(dependencies.name, incarnation, 0, MemberState.LIVE)
    members = MemberTable(own, dependencies.data_centre)
    fleet = Fleet(dependencies.name, dependencies.data_centre, members)
    active_publication = ActivePublication(dependencies.read_bundle, audit, counters, clock)
    list_updater = InstanceListUpdater(fleet, audit, counters, clock)
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
    bundle_distribution = BundleDistribution(
        active_publication, peers, clock, counters, fleet.is_near
    )
    list_sync = InstanceListSync(list_updater, peers, counters)
    bundle_poller = PlatformPoller(fleet, clock, random, counters, "bundle")
    list_poller = PlatformPoller(fleet, clock, random, counters, "instances")
    control_plane = ControlPlane(
        dependencies=dependencies,
        audit=audit,
        counters=counters,
        fleet=fleet,
        active_publication=active_publication,
        list_updater=list_updater,
        peers=peers,
        membership=membership,
        bundle_distribution=bundle_distribution,
        list_sync=list_sync,
        bundle_poller=bundle_poller,
        list_poller=list_poller,
        freshness=make_freshness(
            clock,
            audit,
            counters,
            lambda: control_plane.invalidate(),
            lambda: control_plane.refresh(),
        ),
        startup=Startup(
            clock=clock,
            audit=audit,
            counters=counters,
            membership=membership,
            bundle_distribution=bundle_distribution,
            list_sync=list_sync,
            bundle_poller=bundle_poller,
            list_poller=list_poller,
            seeds=dependencies.seeds,
        ),
        tasks=TaskSupervisor(clock, audit, counters),
    )
    membership.on_heartbeat.append(control_plane.on_heartbeat)
    active_publication.on_change.append(control_plane.announce_publication)
    list_updater.on_change.append(control_plane.apply_instance_list)
    return control_plane

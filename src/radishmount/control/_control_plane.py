"""What keeps one instance in step with the fleet: platform, peers, versions, pauses, leaving."""

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
    """The parts that follow the platform and the peers, and their tasks."""

    dependencies: ControlPlaneDependencies
    audit: AuditTrail
    counters: Counters
    fleet: Fleet
    active_publication: ActivePublication
    list_watch: InstanceListUpdater
    peers: Peers
    membership: Membership
    bundle_distribution: BundleDistribution
    list_sync: InstanceListSync
    bundle_reader: PlatformPoller
    list_reader: PlatformPoller
    freshness: Freshness
    startup: Startup
    tasks: TaskSupervisor
    on_forget: list[Callable[[], None]] = field(default_factory=list)
    reader_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    takes_requests_until_ms: float | None = None

    @property
    def has_started(self) -> bool:
        """Tell whether platform and peers were asked since the start."""
        return self.startup.has_started

    def start(self) -> None:
        """Start the watches at the platform, the streams to peers and the tick."""
        self.membership.start()
        self.bundle_distribution.start()
        self.list_sync.start()
        self._start_readers()
        self.tasks.start("tick", self.freshness.run)
        self.tasks.start("start up", self.startup.run)
        self.tasks.start("seeds", self.startup.ask_seeds)
        self.tasks.start("probe random", self.membership.probe_random_instances)
        self.tasks.start("close idle", self.membership.close_idle_streams)

    async def stop(self) -> None:
        """End every task and stream."""
        await self.tasks.stop()
        await self.freshness.stop()  # before the readers, which a renewal starts anew
        await _end(self.reader_tasks)
        await self.bundle_distribution.stop()
        await self.list_sync.stop()
        await self.membership.stop()
        await self.peers.stop()
        await self.dependencies.platform.close()

    def leave(self, grace_ms: float = LEAVING_GRACE_MS) -> None:
        """Say that this instance leaves. Requests are taken for `grace_ms`: callers keep addresses.

        A second call changes nothing.
        """
        if self.takes_requests_until_ms is not None:
            return
        self.takes_requests_until_ms = self.dependencies.clock.now_ms() + grace_ms
        self.fleet.members.set_own_state(MemberState.LEAVING, "asked to stop")

    def is_leaving(self) -> bool:
        """Tell whether callers are to be sent elsewhere."""
        return self.takes_requests_until_ms is not None

    def accepts_requests(self) -> bool:
        """Tell whether new requests are answered, in the time of grace of a leave too."""
        if not self.has_started:
            return False
        until_ms = self.takes_requests_until_ms
        return until_ms is None or self.dependencies.clock.now_ms() < until_ms

    async def wait_until_fresh(self, limit_ms: float | None) -> bool:
        """Wait for the view to be renewed after a pause; tell whether it was in time."""
        return await self.freshness.wait_until_fresh(limit_ms or REFRESH_TIMEOUT_MS)

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.has_started and not self.is_leaving() and self.freshness.check()

    def take_load(self, load: float) -> None:
        """Say that this instance is overloaded, or that it is no more."""
        self.fleet.members.update_own_load(load)

    def status(self) -> dict[str, Any]:
        """Return what operators are shown of versions and peers."""
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

    def _start_readers(self) -> None:
        platform = self.dependencies.platform

        async def read_bundle(wait_ms: int) -> Result[bytes | None, Refusal]:
            return await platform.bundle(self.active_publication.current.version, wait_ms)

        async def read_list(wait_ms: int) -> Result[InstanceList | None, Refusal]:
            return await platform.instance_list(self.fleet.list_version, wait_ms)

        async def take_bundle(body: bytes) -> Any:
            return await self.active_publication.apply(body, source="platform")

        work = {
            "watch configuration": self.bundle_reader.run(read_bundle, take_bundle),
            "watch instances": self.list_reader.run(read_list, self.list_watch.apply),
        }
        for name, reading in work.items():
            self.reader_tasks.append(asyncio.create_task(reading, name=name))

    def see_heartbeat(self, peer: str, beat: Heartbeat) -> None:
        """Compare the versions that a peer holds with those here."""
        self.list_sync.on_heartbeat(peer, beat)
        self.bundle_distribution.consider_offer(peer, beat.bundle_version, beat.bundle_digest)

    def held(self) -> HeldVersions:
        """Return the versions that this instance holds."""
        current = self.active_publication.current
        return HeldVersions(current.version, current.digest, self.fleet.list_version)

    async def take_publication(self, publication: Publication) -> None:
        """Tell the peers of a new version at once."""
        self.membership.progress.set()
        self.membership.send_heartbeats()

    async def take_list(self, instance_list: InstanceList) -> None:
        """Keep streams to the neighbours of a new list, and tell them of it."""
        self.membership.update_neighbours()
        self.membership.progress.set()
        self.membership.send_heartbeats()

    def forget(self) -> None:
        """Drop what was believed before a pause."""
        self.fleet.members.clear_contacts()
        for tell in self.on_forget:
            tell()

    async def renew(self) -> None:
        """Ask the platform and every neighbour for what changed during a pause."""
        await _end(self.reader_tasks)
        self.reader_tasks.clear()
        self._start_readers()
        await asyncio.gather(
            self.membership.ping_neighbours(),
            self.list_reader.first_read.wait(),
            self.bundle_reader.first_read.wait(),
        )
        await self.startup.end_fetches()


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def make_control_plane(
    parts: ControlPlaneDependencies, audit: AuditTrail, counters: Counters
) -> ControlPlane:
    """Return the control of an instance, not started yet."""
    clock, random = parts.clock, parts.random
    incarnation = first_incarnation(clock.wall_ms(), random)
    own = MemberUpdate(parts.name, incarnation, 0, MemberState.LIVE)
    members = MemberTable(own, parts.data_centre)
    fleet = Fleet(parts.name, parts.data_centre, members)
    in_force = ActivePublication(parts.read_bundle, audit, counters, clock)
    list_watch = InstanceListUpdater(fleet, audit, counters, clock)
    peers = Peers(fleet, parts.open_peer_for(members, counters), clock, counters)
    membership = Membership(
        fleet, peers, clock, random, audit, counters, held_versions=lambda: control.held()
    )
    distribution = BundleDistribution(in_force, peers, clock, counters)
    list_spread = InstanceListSync(list_watch, peers, counters)
    bundle_reader = PlatformPoller(fleet, clock, random, counters, "bundle")
    list_reader = PlatformPoller(fleet, clock, random, counters, "instances")
    control = ControlPlane(
        dependencies=parts,
        audit=audit,
        counters=counters,
        fleet=fleet,
        active_publication=in_force,
        list_watch=list_watch,
        peers=peers,
        membership=membership,
        bundle_distribution=distribution,
        list_sync=list_spread,
        bundle_reader=bundle_reader,
        list_reader=list_reader,
        freshness=make_freshness(
            clock, audit, counters, lambda: control.forget(), lambda: control.renew()
        ),
        startup=Startup(
            clock=clock,
            audit=audit,
            counters=counters,
            membership=membership,
            bundle_distribution=distribution,
            list_sync=list_spread,
            bundle_reader=bundle_reader,
            list_reader=list_reader,
            seeds=parts.seeds,
        ),
        tasks=TaskSupervisor(clock, audit, counters),
    )
    membership.on_heartbeat.append(control.see_heartbeat)
    in_force.on_change.append(control.take_publication)
    list_watch.on_change.append(control.take_list)
    return control

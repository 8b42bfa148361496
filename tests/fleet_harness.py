"""A fleet of instances without endpoints on virtual time, each with its own platform."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok, Result

from fakes import EventLog, FakePlatform, virtual_clock
from peer_fakes import FakeNetwork
from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.control import ControlPlane, ControlPlaneDependencies, make_control_plane
from radishmount.counters import Counters
from radishmount.fleet import Instance, InstanceList
from radishmount.publication import Diagnostic, Publication


def read_small_bundle(body: bytes) -> Result[Publication, list[Diagnostic]]:
    """Parse a bundle of the form `version digest`, with any padding after it."""
    words = body.split()
    if len(words) < 2 or not words[0].isdigit():
        return Err([Diagnostic(Code.BROKEN_SYNTAX, "bundle")])
    return Ok(Publication(int(words[0]), words[1].decode()))


class GatedPlatform:
    """The platform as one instance sees it. No answer arrives while the instance is paused."""

    def __init__(self, platform: FakePlatform) -> None:
        self.platform = platform
        self.open = asyncio.Event()
        self.open.set()

    async def bundle(self, after: int, wait_ms: int) -> Result[bytes | None, Refusal]:
        """Return the bundle newer than `after`."""
        answer = await self.platform.bundle(after, wait_ms)
        await self.open.wait()
        return answer

    async def instance_list(self, after: int, wait_ms: int) -> Result[InstanceList | None, Refusal]:
        """Return the list newer than `after`."""
        answer = await self.platform.instance_list(after, wait_ms)
        await self.open.wait()
        return answer

    async def close(self) -> None:
        """Close nothing."""


@dataclass
class FleetHarness:
    """The instances by name, the network between them, and one log of all of them."""

    log: EventLog
    clock: Clock
    network: FakeNetwork = field(default_factory=FakeNetwork)
    platform: FakePlatform = field(default_factory=FakePlatform)
    control_planes_by_name: dict[str, ControlPlane] = field(default_factory=dict)
    platforms_by_name: dict[str, GatedPlatform] = field(default_factory=dict)
    counters_by_name: dict[str, Counters] = field(default_factory=dict)
    data_centres_by_name: dict[str, str] = field(default_factory=dict)
    start_count: int = 0
    applied_versions_by_start: dict[str, list[int]] = field(default_factory=dict)

    def start(
        self,
        name: str,
        data_centre: str = "milano",
        platform: FakePlatform | None = None,
        wall_ms: float | None = None,
        seeds: tuple[str, ...] = (),
    ) -> ControlPlane:
        """Start an instance; `wall_ms` is its wall-clock time at the start."""
        self.start_count += 1
        now_ms = self.clock.now_ms
        started_wall_ms = now_ms() if wall_ms is None else wall_ms
        offset_ms = started_wall_ms - now_ms()
        clock = Clock(now_ms=now_ms, wall_ms=lambda: now_ms() + offset_ms)
        counters = Counters()
        audit = AuditTrail(
            clock, emit=lambda line: self.log.add(f"{name}: {line.subject} {line.change}")
        )
        self.platforms_by_name[name] = GatedPlatform(platform or self.platform)
        dependencies = ControlPlaneDependencies(
            name=name,
            data_centre=data_centre,
            clock=clock,
            random=Random(self.start_count),
            platform=self.platforms_by_name[name],
            read_bundle=read_small_bundle,
            open_peer_for=self.network.open_peer_for,
            seeds=seeds,
        )
        control_plane = make_control_plane(dependencies, audit, counters)
        self.control_planes_by_name[name] = control_plane
        self.counters_by_name[name] = counters
        self.data_centres_by_name[name] = data_centre
        applied_versions = self.applied_versions_by_start.setdefault(
            f"{name}/{self.start_count}", []
        )

        async def record_version(publication: Publication) -> None:
            applied_versions.append(publication.version)

        control_plane.active_publication.on_change.append(record_version)
        self.network.down_names.discard(name)
        self.network.add(name, control_plane.fleet.members, control_plane.peers)
        control_plane.start()
        return control_plane

    async def start_all(self, names: Iterable[str], data_centres: tuple[str, ...]) -> None:
        """Start instances distributed over `data_centres`, listed and ready at version 1."""
        names = list(names)
        for number, name in enumerate(names):
            self.start(name, data_centres[number % len(data_centres)])
        self.platform.publish_bundle(1, b"1 one")
        self.publish_instances()
        await asyncio.sleep(3.0)

    def publish_instances(self, *platforms: FakePlatform) -> None:
        """Publish a list of all started instances at `platforms`, or at the default one."""
        listed = tuple(
            Instance(name, data_centre, f"{name}:1", f"{name}:2")
            for name, data_centre in self.data_centres_by_name.items()
        )
        for platform in platforms or (self.platform,):
            platform.publish_instances(InstanceList(platform.instances.version + 1, listed))

    async def kill(self, name: str) -> None:
        """Stop an instance without a leaving message."""
        self.network.down_names.add(name)
        await self.control_planes_by_name.pop(name).stop()

    async def pause(self, name: str, duration_s: float) -> int:
        """Cut an instance off for a time, then make its next tick late, as a process pause does.

        Return its active version when it resumed.

        The tasks of one instance cannot be paused on the shared event loop. Instead, what they send
        meanwhile is dropped, and what is sent to them arrives when the instance resumes.
        """
        self.log.add(f"-- {name} pauses for {duration_s:.0f} s")
        self.network.freeze(name)
        self.platforms_by_name[name].open.clear()
        await asyncio.sleep(duration_s)
        control_plane = self.control_planes_by_name[name]
        version = control_plane.active_publication.current.version
        self.network.thaw(name)
        self.platforms_by_name[name].open.set()
        self.log.add(f"-- {name} wakes")
        control_plane.freshness.pause_detector.last_tick_at_ms -= duration_s * 1000.0
        control_plane.freshness.check()
        return version

    def versions_in_force(self) -> dict[str, int]:
        """Return the active version of each instance."""
        return {
            name: c.active_publication.current.version
            for name, c in self.control_planes_by_name.items()
        }

    def states_of(self, name: str) -> dict[str, str]:
        """Return the state of `name` at each other instance."""
        return {
            other: str(control_plane.fleet.members.state_of(name))
            for other, control_plane in self.control_planes_by_name.items()
            if other != name
        }

    async def stop(self) -> None:
        """Stop every instance."""
        for control_plane in self.control_planes_by_name.values():
            await control_plane.stop()
        await self.network.stop()


def make_fleet_harness() -> FleetHarness:
    """Return a harness without instances."""
    clock = virtual_clock()
    return FleetHarness(EventLog(clock), clock)

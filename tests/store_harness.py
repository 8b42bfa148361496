"""A store in memory, and instances that follow it and each other, on virtual time."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok, Result

from fakes import virtual_clock
from fleet_harness import read_small_bundle
from peer_fakes import FakeNetwork
from radishmount.audit import AuditTrail
from radishmount.codes import Code, Refusal
from radishmount.control import (
    SeededControlPlane,
    SeededControlPlaneDependencies,
    make_seeded_control_plane,
)
from radishmount.counters import Counters
from radishmount.discovery import (
    EndpointEntry,
    EndpointList,
    ListedEndpoint,
    StoreAnswer,
    StoreEntry,
    StoreFailure,
    StoreFailureKind,
    StoreFollower,
)
from radishmount.fleet import Instance
from radishmount.publication import ActivePublication


DATA_CENTRES = ("milano", "torino", "bergamo")
SEEDS = ("e0:2", "e1:2", "e2:2")


def entry(name: str) -> EndpointEntry:
    """Return the entry of an endpoint."""
    return EndpointEntry(name, ListedEndpoint(name, "s", "10.0.0.1:1", "milano", 2))


@dataclass
class FakeStore:
    """A store in memory; `fault` is what every call is answered with while it is set.

    Its own revision runs ahead of the newest change by `idle_writes`.
    """

    entries: list[StoreEntry] = field(default_factory=list)
    events: list[tuple[int, StoreEntry]] = field(default_factory=list)
    revision: int = 1
    idle_writes: int = 0
    fault: StoreFailureKind | None = None
    read_ms: float = 0.0
    calls: list[str] = field(default_factory=list)
    news: asyncio.Event = field(default_factory=asyncio.Event)

    def tell(self, *entries: StoreEntry) -> None:
        """Change something."""
        for item in entries:
            self.revision += 1
            self.events.append((self.revision, item))
        self.news.set()

    async def read_all(self) -> Result[StoreAnswer, StoreFailure]:
        """Return every entry."""
        self.calls.append("range")
        await asyncio.sleep(self.read_ms / 1000.0)
        if self.fault is not None:
            return self._failure()
        return Ok(StoreAnswer(tuple(self.entries), self.revision + self.idle_writes, self.revision))

    async def watch(self, after: int, wait_ms: int) -> Result[StoreAnswer, StoreFailure]:
        """Return what changed."""
        self.calls.append("watch")
        if self.fault is None and not [e for r, e in self.events if r > after]:
            self.news.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000.0):
                    await self.news.wait()
            except TimeoutError:
                pass
        if self.fault is not None:
            return self._failure()
        changed = [(r, e) for r, e in self.events if r > after]
        last_change = max((r for r, _ in changed), default=0)
        entries = tuple(e for _, e in changed)
        return Ok(StoreAnswer(entries, max(after, self.revision + self.idle_writes), last_change))

    async def close(self) -> None:
        """Close nothing."""

    def _failure(self) -> Err[StoreFailure]:
        fault = self.fault or StoreFailureKind.UNAVAILABLE
        if fault is StoreFailureKind.COMPACTED:
            self.fault = None
        return Err(StoreFailure(fault, Refusal(Code.PLATFORM_DOWN)))


@dataclass
class Follower:
    """One instance of a `GossipHarness`."""

    store: FakeStore
    control: SeededControlPlane
    endpoints: EndpointList
    tasks: list[asyncio.Task[None]]


@dataclass
class GossipHarness:
    """Instances by name. Each has a view of one store of its own, which shares its changes."""

    network: FakeNetwork = field(default_factory=FakeNetwork)
    by_name: dict[str, Follower] = field(default_factory=dict)
    entries: list[StoreEntry] = field(default_factory=list)
    events: list[tuple[int, StoreEntry]] = field(default_factory=list)
    changes_due_ms: float = 3_000.0

    async def start(self, count: int) -> "GossipHarness":
        """Start instances, and wait until they know each other and have read the store."""
        for number in range(count):
            self._start(f"e{number}", DATA_CENTRES[number % len(DATA_CENTRES)])
        await asyncio.sleep(6.0)
        return self

    def tell(self, *entries: StoreEntry) -> None:
        """Change something in the store."""
        for item in entries:
            revision = next(iter(self.by_name.values())).store.revision + 1
            self.events.append((revision, item))
            for follower in self.by_name.values():
                follower.store.revision = revision
        for follower in self.by_name.values():
            follower.store.news.set()

    def calls(self) -> dict[str, int]:
        """Return how often each instance has called the store."""
        return {name: len(follower.store.calls) for name, follower in self.by_name.items()}

    def callers_in(self, before: dict[str, int]) -> set[str]:
        """Return the instances that have called the store since."""
        return {name for name, count in self.calls().items() if count > before[name]}

    def holding(self, *names: str) -> set[str]:
        """Return the instances that list just the endpoints `names`."""
        wanted = set(names)
        return {n for n, f in self.by_name.items() if set(f.endpoints.by_name) == wanted}

    async def kill(self, name: str) -> None:
        """End an instance without a word."""
        self.network.down_names.add(name)
        follower = self.by_name.pop(name)
        await self._end(follower)

    async def stop(self) -> None:
        """End everything."""
        for follower in self.by_name.values():
            await self._end(follower)
        await self.network.stop()

    async def _end(self, follower: Follower) -> None:
        for task in follower.tasks:
            task.cancel()
        await asyncio.gather(*follower.tasks, return_exceptions=True)
        await follower.control.stop()

    def _start(self, name: str, data_centre: str) -> None:
        clock, counters = virtual_clock(), Counters()
        audit = AuditTrail(clock)
        store = FakeStore(entries=self.entries, events=self.events)
        endpoints = EndpointList()
        in_force = ActivePublication(read_small_bundle, audit, counters, clock)

        async def renew() -> None:
            pass

        random = Random(name)
        follower = StoreFollower(
            store, endpoints, in_force, clock, random, audit, counters, on_change=renew
        )
        follower.changes_due_ms = self.changes_due_ms
        own = Instance(name, data_centre, f"{name}:1", f"{name}:2")
        parts = SeededControlPlaneDependencies(
            own, SEEDS, clock, random, self.network.open_peer_for
        )
        control = make_seeded_control_plane(parts, in_force, follower, audit, counters)
        self.network.add(name, control.fleet.members, control.peers)
        control.start()
        tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(follower.run_change_notifications()),
        ]
        self.by_name[name] = Follower(store, control, endpoints, tasks)

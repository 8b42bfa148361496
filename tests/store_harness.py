"""An in-memory store, and instances that watch it and gossip, on virtual time."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any

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
    ConfigurationEntry,
    EndpointEntry,
    EndpointList,
    EndpointRemoval,
    EvacuationEntry,
    ListedEndpoint,
    StoreAnswer,
    StoreEntry,
    StoreFailure,
    StoreFailureKind,
    StoreFollower,
    StorePosition,
)
from radishmount.fleet import Instance
from radishmount.publication import ActivePublication


DATA_CENTRES = ("milano", "torino", "bergamo")
SEEDS = ("e0:2", "e1:2", "e2:2")


def endpoint_entry(name: str, **fields: Any) -> EndpointEntry:
    """Return the store entry of an endpoint."""
    return EndpointEntry(name, ListedEndpoint(name, "s", "10.0.0.1:1", "milano", 2, **fields))


def _key_of(entry: StoreEntry) -> str:
    if isinstance(entry, ConfigurationEntry):
        return "configuration"
    if isinstance(entry, EvacuationEntry):
        return f"evacuation/{entry.data_centre}"
    return f"endpoint/{entry.name}"


def _is_removal(entry: StoreEntry) -> bool:
    if isinstance(entry, EvacuationEntry):
        return not entry.is_requested
    return isinstance(entry, EndpointRemoval)


@dataclass
class FakeStore:
    """An in-memory store. While `failure_kind` is set, every call fails with it.

    `entries` were written at revision 1, `events` after it. The store's revision is ahead of the
    newest change by `unrelated_writes`. The changes up to `lost_revision` are no longer kept, and
    there are none after `revision`. `era` rises when the store comes back from an older copy.
    """

    entries: list[StoreEntry] = field(default_factory=list)
    events: list[tuple[int, StoreEntry]] = field(default_factory=list)
    revision: int = 1
    era: int = 1
    address: str = "store:1"
    unrelated_writes: int = 0
    lost_revision: int = 0
    failure_kind: StoreFailureKind | None = None
    read_ms: float = 0.0
    calls: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, *entries: StoreEntry) -> None:
        """Write entries, each under a new revision."""
        for item in entries:
            self.revision += 1
            self.events.append((self.revision, item))
        self.changed.set()

    async def read_all(self) -> Result[StoreAnswer, StoreFailure]:
        """Return every entry."""
        self.calls.append("range")
        await asyncio.sleep(self.read_ms / 1000.0)
        if self.failure_kind is not None:
            return self._failure()
        listed = self._listed_entries()
        newest = max((revision for revision, _ in listed), default=0)
        entries = tuple(entry for _, entry in listed)
        return Ok(StoreAnswer(entries, self._position(), newest))

    async def watch(self, after: StorePosition, wait_ms: int) -> Result[StoreAnswer, StoreFailure]:
        """Return the changes after a revision, waiting up to `wait_ms` for the first."""
        self.calls.append("watch")
        if self.failure_kind is None and not self._events_after(after) and self._has(after):
            self.changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000.0):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if self.failure_kind is None and not self._has(after):
            is_restored = after.era != self.era
            kind = StoreFailureKind.RESTORED if is_restored else StoreFailureKind.COMPACTED
            return Err(StoreFailure(kind, Refusal(Code.PLATFORM_WENT_BACK)))
        if self.failure_kind is not None:
            return self._failure()
        changed = self._events_after(after)
        last_change = max((r for r, _ in changed), default=0)
        entries = tuple(e for _, e in changed)
        return Ok(StoreAnswer(entries, self._position(), last_change))

    async def close(self) -> None:
        """Close nothing."""

    def _position(self) -> StorePosition:
        return StorePosition(self.era, self.revision + self.unrelated_writes)

    def _has(self, after: StorePosition) -> bool:
        return self.lost_revision <= after.revision <= self.revision + self.unrelated_writes

    def _events_after(self, after: StorePosition) -> list[tuple[int, StoreEntry]]:
        return [(revision, entry) for revision, entry in self.events if revision > after.revision]

    def _listed_entries(self) -> list[tuple[int, StoreEntry]]:
        """Return the entries that exist, each with the revision of its last change.

        As in the platform's store, a removal leaves nothing of which the revision could be seen.
        """
        listed: dict[str, tuple[int, StoreEntry]] = {}
        for revision, entry in [*((1, entry) for entry in self.entries), *self.events]:
            key = _key_of(entry)
            listed.pop(key, None)
            if not _is_removal(entry):
                listed[key] = (revision, entry)
        return list(listed.values())

    def _failure(self) -> Err[StoreFailure]:
        kind = self.failure_kind or StoreFailureKind.UNAVAILABLE
        if kind is StoreFailureKind.COMPACTED:
            self.failure_kind = None
        return Err(StoreFailure(kind, Refusal(Code.PLATFORM_DOWN)))


@dataclass
class FollowerInstance:
    """One instance of a `GossipHarness`."""

    store: FakeStore
    control_plane: SeededControlPlane
    endpoints: EndpointList
    tasks: list[asyncio.Task[None]]


@dataclass
class GossipHarness:
    """Instances by name. Each has its own fake store; all of these hold the same entries."""

    network: FakeNetwork = field(default_factory=lambda: FakeNetwork(keeps_order=True))
    by_name: dict[str, FollowerInstance] = field(default_factory=dict)
    entries: list[StoreEntry] = field(default_factory=list)
    events: list[tuple[int, StoreEntry]] = field(default_factory=list)
    revision: int = 1
    era: int = 1
    max_propagation_ms: float = 3_000.0

    async def start(self, count: int) -> "GossipHarness":
        """Start instances, and wait until they know each other and have read the store."""
        for number in range(count):
            self._start_instance(f"e{number}", DATA_CENTRES[number % len(DATA_CENTRES)])
        await asyncio.sleep(6.0)
        return self

    def write(self, *entries: StoreEntry) -> None:
        """Write entries to the store."""
        for item in entries:
            self.revision += 1
            self.events.append((self.revision, item))
        self._update_stores()

    def _update_stores(self) -> None:
        for instance in self.by_name.values():
            instance.store.revision = self.revision
            instance.store.era = self.era
            instance.store.changed.set()

    def copy(self) -> int:
        """Return the revision of a copy of the store that is made now."""
        return self.revision

    async def restore(self, copy: int, away_ms: float = 1_000.0, *, tells_era: bool = True) -> None:
        """Have the store be away, and come back from the copy without what was written since.

        A store that does not tell of it stays in the era in which it was.
        """
        reachable = [i for i in self.by_name.values() if i.store.failure_kind is None]
        for instance in reachable:
            instance.store.failure_kind = StoreFailureKind.UNAVAILABLE
            instance.store.changed.set()
        await asyncio.sleep(away_ms / 1000.0)
        self.events[:] = [(revision, entry) for revision, entry in self.events if revision <= copy]
        self.revision = copy
        self.era += int(tells_era)
        for instance in reachable:
            instance.store.failure_kind = None
        self._update_stores()

    def write_in_lost_history(self, *entries: StoreEntry) -> None:
        """Write entries to the store, whose history is lost before any watch has returned them."""
        for instance in self.by_name.values():
            instance.store.lost_revision = self.revision + len(entries)
        self.write(*entries)

    def calls_by_name(self) -> dict[str, int]:
        """Return how often each instance has called the store."""
        return {name: len(instance.store.calls) for name, instance in self.by_name.items()}

    def instances_that_called_since(self, before: dict[str, int]) -> set[str]:
        """Return the instances that have called the store since `before`, an earlier count."""
        return {name for name, count in self.calls_by_name().items() if count > before[name]}

    def instances_listing(self, *names: str) -> set[str]:
        """Return the instances that list exactly the endpoints `names`."""
        wanted = set(names)
        return {n for n, i in self.by_name.items() if set(i.endpoints.by_name) == wanted}

    def instances_evacuating(self, *data_centres: str) -> set[str]:
        """Return the instances for which exactly `data_centres` are evacuated."""
        wanted = set(data_centres)
        return {n for n, i in self.by_name.items() if i.endpoints.evacuated_data_centres == wanted}

    async def kill(self, name: str) -> None:
        """Stop an instance without a leaving message."""
        self.network.down_names.add(name)
        instance = self.by_name.pop(name)
        await self._stop_instance(instance)

    async def restart(self, name: str) -> None:
        """Start a killed instance again, without any state of before."""
        self.network.down_names.discard(name)
        self._start_instance(name, DATA_CENTRES[int(name[1:]) % len(DATA_CENTRES)])

    async def stop(self) -> None:
        """Stop all instances."""
        for instance in self.by_name.values():
            await self._stop_instance(instance)
        await self.network.stop()

    async def _stop_instance(self, instance: FollowerInstance) -> None:
        for task in instance.tasks:
            task.cancel()
        await asyncio.gather(*instance.tasks, return_exceptions=True)
        await instance.control_plane.stop()

    def _start_instance(self, name: str, data_centre: str) -> None:
        clock, counters = virtual_clock(), Counters()
        audit = AuditTrail(clock)
        store = FakeStore(self.entries, self.events, revision=self.revision, era=self.era)
        endpoints = EndpointList()
        active_publication = ActivePublication(read_small_bundle, audit, counters, clock)

        async def ignore_change() -> None:
            pass

        random = Random(name)
        follower = StoreFollower(
            store,
            endpoints,
            active_publication,
            clock,
            random,
            audit,
            counters,
            on_change=ignore_change,
        )
        follower.max_propagation_ms = self.max_propagation_ms
        own = Instance(name, data_centre, f"{name}:1", f"{name}:2")
        dependencies = SeededControlPlaneDependencies(
            own, SEEDS, clock, random, self.network.open_peer_for
        )
        control_plane = make_seeded_control_plane(
            dependencies, active_publication, follower, audit, counters
        )
        self.network.add(name, control_plane.fleet.members, control_plane.peers)
        control_plane.start()
        tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(follower.run_change_notifications()),
        ]
        self.by_name[name] = FollowerInstance(store, control_plane, endpoints, tasks)

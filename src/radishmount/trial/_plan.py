"""The plan of a trial: the region, the loads, the faults and the bounds."""

from dataclasses import dataclass, field
from enum import StrEnum


__all__ = [
    "BoundPlan",
    "CollectionPlan",
    "FaultKind",
    "FaultPlan",
    "LoadPlan",
    "RegionPlan",
    "ServicePlan",
    "TrialPlan",
    "WindowPlan",
]


class FaultKind(StrEnum):
    """What a fault does. A fault with an `until_ms` is undone at that time.

    `SILENT_CONNECTIONS`, `COLD_START`, `INDEX`, `REPARTITION`, `PUBLISH`, `ENTRY_JOIN`,
    `ENTRY_STOP` and `ENTRY_VANISH` are not undone, whatever their `until_ms` is.
    An endpoint that is `LEAVING` is listed as leaving and reports that it is draining; one that is
    `LEAVING_UNSAID` is only listed. One that is `LYING` reports no requests in flight.
    """

    SLOW = "slow"
    RANDOM_SLOW = "random-slow"
    LOST = "lost"
    SILENT = "silent"
    SILENT_CONNECTIONS = "silent-connections"
    SHEDDING = "shedding"
    LEAVING = "leaving"
    LEAVING_UNSAID = "leaving-unsaid"
    LYING = "lying"
    COLD_START = "cold-start"
    INDEX = "index"
    REPARTITION = "repartition"
    PUBLISH = "publish"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_STALE = "platform-stale"
    ENTRY_JOIN = "entry-join"
    ENTRY_STOP = "entry-stop"
    ENTRY_VANISH = "entry-vanish"
    ENTRY_PAUSE = "entry-pause"
    PARTITION = "partition"


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service whose endpoints are all configured alike.

    A share `slow_ratio` of the replies takes `slow_ms` longer than `service_ms`.
    """

    name: str
    endpoints: int
    slots: int
    connections: int
    connect_ms: float = 0.0
    service_ms: float = 4.0
    slow_ratio: float = 0.0
    slow_ms: float = 0.0

    def endpoint_names(self) -> list[str]:
        """Return the names of the endpoints: `NAME-a`, `NAME-b` and so on."""
        return [f"{self.name}-{chr(ord('a') + n)}" for n in range(self.endpoints)]


@dataclass(frozen=True, slots=True)
class CollectionPlan:
    """A collection with one shard on each of `services`.

    Coverage is reported in `parts_per_shard` parts for each shard.
    """

    name: str
    services: tuple[str, ...]
    parts_per_shard: int = 1


@dataclass(frozen=True, slots=True)
class RegionPlan:
    """The data centres, entries, services and collections of a trial.

    Endpoints and entries are distributed over the data centres in turn. The network delays
    `between_data_centres_ms` and `to_callers_ms` are one-way.
    """

    data_centres: tuple[str, ...]
    entries: int
    services: tuple[ServicePlan, ...]
    collections: tuple[CollectionPlan, ...] = ()
    between_data_centres_ms: float = 4.0
    to_callers_ms: float = 3.0

    def entry_names(self) -> list[str]:
        """Return the names of the entries: `entry-1`, `entry-2` and so on."""
        return [f"entry-{number}" for number in range(1, self.entries + 1)]

    def data_centre_of(self, index: int) -> str:
        """Return the data centre of the endpoint or entry at position `index` of its list."""
        return self.data_centres[index % len(self.data_centres)]


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Calls of one caller to `target`, at random times with a mean rate of `rate_per_s`.

    A caller tries its next address after `move_on_ms` without an answer; None disables that.
    """

    caller: str
    target: str
    rate_per_s: float
    deadline_ms: float
    data_centre: str
    prefer: str = "coverage"
    priority: int = 5
    quota_per_s: float = 10_000.0
    hedge_ratio: float = 0.05
    idempotent: bool = True
    repeat_ratio: float = 0.0
    from_ms: float = 0.0
    until_ms: float | None = None
    move_on_ms: float | None = None


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """One fault, which begins `at_ms` after the load. Which other fields apply depends on its kind.

    `targets` names endpoints, services (for all of their endpoints) or entries.
    """

    kind: FaultKind
    at_ms: float
    until_ms: float | None = None
    targets: tuple[str, ...] = ()
    factor: float = 1.0
    ratio: float = 0.0
    extra_ms: float = 0.0
    version: int = 0
    drop_after_ms: float | None = None
    shard: str = ""
    to_service: str = ""


@dataclass(frozen=True, slots=True)
class BoundPlan:
    """A limit on one figure; with `times` the limit is a multiple of the figure of that name."""

    figure: str
    at_most: float | None = None
    at_least: float | None = None
    times: str = ""


@dataclass(frozen=True, slots=True)
class WindowPlan:
    """A named time window of the load for which figures are also computed separately."""

    name: str
    from_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class TrialPlan:
    """One trial. The times of loads and faults count from the end of the warm-up.

    Before the warm-up the entries get no load for `idle_ms`, to measure the cost of the control
    plane. `policy` enables or disables mechanisms of the entries by name.
    """

    name: str
    seed: int
    warm_up_ms: float
    duration_ms: float
    region: RegionPlan
    loads: tuple[LoadPlan, ...]
    faults: tuple[FaultPlan, ...] = ()
    bounds: tuple[BoundPlan, ...] = ()
    windows: tuple[WindowPlan, ...] = ()
    policy: dict[str, bool] = field(default_factory=dict)
    baseline: bool = True
    idle_ms: float = 1_000.0

    def warm_up_loads(self) -> list[LoadPlan]:
        """Return the loads that begin at time 0; the warm-up uses the same ones."""
        return [load for load in self.loads if load.from_ms == 0.0]

"""The published objects: what operators define, and the rules that apply to callers."""

from dataclasses import dataclass, field
from enum import StrEnum

from radishmount.publication._key_range import KeyRange


__all__ = [
    "Caller",
    "Collection",
    "DataCentre",
    "EndpointSpec",
    "Evacuation",
    "Part",
    "Preference",
    "Rule",
    "Service",
    "Shard",
]


class Preference(StrEnum):
    """What a rule prefers to keep: full coverage of the answers, or a low tail latency."""

    COVERAGE = "coverage"
    TAIL = "tail"


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre and its region."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The operator's wish that nothing more is sent to the endpoints of a data centre."""

    name: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class EndpointSpec:
    """One back end of a service. `address` is an IP address and a port.

    `cold_for_ms` is for how much longer it will be slow after its start, and `started_at_ms` is
    the wall-clock time of its start, if these are known.
    """

    name: str
    data_centre: str
    address: str
    cold_for_ms: float = 0.0
    started_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A set of like endpoints. Each works on `slots` requests at once.

    `connections` is the highest number of connections to each endpoint, of the whole fleet
    together. `connect_ms` is how long it takes to open one. An endpoint is cold for `cold_start_ms`
    after its start; meanwhile all instances together send it `cold_per_s` requests a second, any
    number where that is zero.
    """

    name: str
    slots: int
    connections: int
    endpoints: tuple[EndpointSpec, ...]
    connect_ms: float = 0.0
    reports_load: bool = True
    cold_start_ms: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Part:
    """A named range of keys, the unit in which coverage is reported.

    In the examples it is a grove, or a shelf of the catalogue.
    """

    name: str
    keys: KeyRange


@dataclass(frozen=True, slots=True)
class Collection:
    """The target of a search: keys that are divided among shards. Coverage is reported by part."""

    name: str
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class Shard:
    """A range of keys that a service holds, from index version `since` until before `until`."""

    name: str
    collection: str
    service: str
    keys: KeyRange
    since: int = 1
    until: int | None = None

    def is_in(self, index_version: int) -> bool:
        """Return whether the shard belongs to the shard map of `index_version`."""
        return self.since <= index_version and (self.until is None or index_version < self.until)


@dataclass(frozen=True, slots=True)
class Rule:
    """How requests of a caller to `target`, a collection or a service, are handled.

    `quota_per_s` applies to the whole fleet. Requests with a lower `priority` number go first.
    `hedge_ratio` is the largest share of sub-requests that may be sent a second time.
    """

    name: str
    target: str
    prefer: Preference
    deadline_ms: float
    hedge_ratio: float
    quota_per_s: float
    priority: int
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Caller:
    """A client account, such as a workshop, a desk, a handheld or a job, and its rules."""

    name: str
    data_centre: str
    rules: tuple[str, ...] = field(default=())

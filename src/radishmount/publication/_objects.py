"""The published objects: what operators say exists, and the rules that bind it."""

from dataclasses import dataclass, field
from enum import StrEnum

from radishmount.publication._key_range import KeyRange


__all__ = [
    "Caller",
    "Collection",
    "DataCentre",
    "EndpointSpec",
    "Part",
    "Preference",
    "Rule",
    "Service",
    "Shard",
]


class Preference(StrEnum):
    """What a rule gives up last: coverage of the answer, or its latency."""

    COVERAGE = "coverage"
    TAIL = "tail"


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre and the region that it lies in."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class EndpointSpec:
    """One back end of a service: `address` is an IP number and a port.

    `cold_for_ms` is how much longer it is slow after its start, where that is known.
    """

    name: str
    data_centre: str
    address: str
    cold_for_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """Endpoints of one shape: each has `slots` that work and takes at most `connections`."""

    name: str
    slots: int
    connections: int
    endpoints: tuple[EndpointSpec, ...]
    connect_ms: float = 0.0
    reports_load: bool = True


@dataclass(frozen=True, slots=True)
class Part:
    """A named range of keys that coverage is told in: a grove, or a shelf of the catalogue."""

    name: str
    keys: KeyRange


@dataclass(frozen=True, slots=True)
class Collection:
    """What a search goes to: keys that are split over shards, told in parts."""

    name: str
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class Shard:
    """A range of keys that a service holds from index version `since` up to, without, `until`."""

    name: str
    collection: str
    service: str
    keys: KeyRange
    since: int = 1
    until: int | None = None

    def is_in(self, index_version: int) -> bool:
        """Tell whether the shard belongs to the map of `index_version`."""
        return self.since <= index_version and (self.until is None or index_version < self.until)


@dataclass(frozen=True, slots=True)
class Rule:
    """How requests of a caller to `target`, a collection or a service, are treated.

    `quota_per_s` is for the whole fleet. A lower `priority` number goes first. `hedge_ratio` is
    the share of sub-requests that may be sent a second time.
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
    """A workshop, desk, handheld or job, and the rules that bind it."""

    name: str
    data_centre: str
    rules: tuple[str, ...] = field(default=())

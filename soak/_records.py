"""The records of one run, as made by callers, endpoints and the operator."""

from dataclasses import dataclass, field
from enum import StrEnum


__all__ = ["RequestRecord", "PublishedVersion", "ExecutionRecord", "Records", "RequestKind"]


class RequestKind(StrEnum):
    """The route that a request is sent to. `MARK` is the route that only one version has."""

    GATHER = "gather"
    SINGLE = "single"
    ORDER = "order"
    MARK = "mark"


@dataclass(slots=True)
class RequestRecord:
    """One request as its caller saw it. Times are in seconds on the clock of the event loop.

    `marked_version` is the only version that has the route of a `MARK` request. `status` is None
    if there was no answer. `stamps` are the server stamps of the parts of the answer.
    """

    request_id: str
    kind: RequestKind
    instance: str
    sent_at_s: float
    marked_version: int = 0
    ended_at_s: float | None = None
    status: int | None = None
    body: bytes = b""
    stamps: tuple[str, ...] = ()
    missing_parts: int = 0


@dataclass(frozen=True, slots=True)
class ExecutionRecord:
    """One request that an endpoint began to execute."""

    request_id: str
    service: str
    endpoint: str
    started_at_s: float


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """One version of the configuration, with the services of its shards."""

    version: int
    shard_services: tuple[str, ...]
    published_at_s: float


@dataclass(slots=True)
class Records:
    """Everything recorded in one run. Times are in seconds on the clock of the event loop.

    `body_by_stamp` holds the body that an endpoint sent with each server stamp.
    `draining_since_s_by_endpoint` is when the store had an endpoint's draining state.
    `disturbances_by_name` holds the begin and end of the faults of each instance and of the store.
    `known_count_by_instance` is how many instances each instance knew at the end. All faults had
    ended at `healed_at_s`.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    executions: list[ExecutionRecord] = field(default_factory=list)
    published: list[PublishedVersion] = field(default_factory=list)
    body_by_stamp: dict[str, bytes] = field(default_factory=dict)
    draining_since_s_by_endpoint: dict[str, float] = field(default_factory=dict)
    disturbances_by_name: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    start_times_s_by_instance: dict[str, list[float]] = field(default_factory=dict)
    known_count_by_instance: dict[str, int] = field(default_factory=dict)
    unexpected_exits: list[str] = field(default_factory=list)
    healed_at_s: float = float("inf")

    def record_disturbance(self, name: str, began_s: float, ended_s: float) -> None:
        """Record a fault of `name`, the name of an instance or of the store."""
        self.disturbances_by_name.setdefault(name, []).append((began_s, ended_s))

    def was_undisturbed(self, names: tuple[str, ...], since_s: float, until_s: float) -> bool:
        """Return whether no fault disturbed any of `names` between the two times."""
        for name in names:
            for began_s, ended_s in self.disturbances_by_name.get(name, ()):
                if began_s <= until_s and ended_s >= since_s:
                    return False
        return True

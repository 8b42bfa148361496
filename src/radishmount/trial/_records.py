"""What happened at the endpoints, and what the callers were told."""

from dataclasses import dataclass, field
from enum import StrEnum

from radishmount.publication import KeyRange


__all__ = ["CallRecord", "CallTry", "EndpointRecord", "RowTold", "Told"]


@dataclass(slots=True)
class EndpointRecord:
    """One request that reached an endpoint stand-in, as it happened there. Times are monotonic.

    `ran` turns true when a slot begins to work on the request. `leaving_since_ms` is there when
    the endpoint had begun to leave before the request arrived.
    """

    endpoint: str
    at_ms: float
    request_id: str
    attempt: int
    shard: str
    index_version: int
    text: str = ""
    outcome: str = "open"
    ran: bool = False
    leaving_since_ms: float | None = None
    order_key: str | None = None
    keys: KeyRange | None = None


class Told(StrEnum):
    """How a call ended for the caller."""

    ANSWER = "answer"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RowTold:
    """What a row of an answer says of its origin: the stand-in that made it wrote it there."""

    key: str
    endpoint: str
    request_id: str
    attempt: int
    index_version: int
    text: str
    keys: KeyRange


@dataclass(frozen=True, slots=True)
class CallTry:
    """One request of a call to one instance. `cut` tells that the connection broke after it."""

    request_id: str
    instance: str
    ended_at_ms: float
    cut: bool = False
    refused_as: str = ""
    ran: str = ""


@dataclass(slots=True)
class CallRecord:
    """One call of a caller, from its scheduled arrival to the last thing it was told."""

    load: str
    call_id: str
    collection: str
    text: str
    at_ms: float
    deadline_ms: float
    latency_ms: float = 0.0
    told: Told = Told.LOST
    request_id: str = ""
    echoed_request_id: str = ""
    code: str = ""
    detail: str = ""
    ran: str = ""
    index_version: int = 0
    complete: bool = False
    covered: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
    rows: tuple[RowTold, ...] = ()
    tries: list[CallTry] = field(default_factory=list)

    @property
    def coverage(self) -> float:
        """Return the share of parts that the answer says it includes, zero without an answer."""
        if self.told is not Told.ANSWER:
            return 0.0
        total = len(self.covered) + len(self.missing)
        return len(self.covered) / total if total else 1.0

"""Records of a run: what reached the endpoints, and what answers the callers got."""

from dataclasses import dataclass, field
from enum import StrEnum

from radishmount.publication import KeyRange


__all__ = ["CallRecord", "CallAttempt", "EndpointRecord", "RowOrigin", "CallOutcome"]


@dataclass(slots=True)
class EndpointRecord:
    """One request that reached an endpoint stand-in, as the stand-in saw it.

    Times are monotonic. `ran` becomes true when a slot begins to process the request.
    `leaving_since_ms` is set when the endpoint had begun to leave before the request arrived.
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


class CallOutcome(StrEnum):
    """How a call ended for the caller."""

    ANSWER = "answer"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RowOrigin:
    """The origin of a row of an answer, as the endpoint stand-in wrote it into the row."""

    key: str
    endpoint: str
    request_id: str
    attempt: int
    index_version: int
    text: str
    keys: KeyRange


@dataclass(frozen=True, slots=True)
class CallAttempt:
    """One request of a call to one instance.

    `cut` is true when the connection broke after the request was sent. `refused_as` is the name
    of the code of a refusal, or `no answer` when the caller timed out; `ran` is the run status of a
    refusal.
    """

    request_id: str
    instance: str
    ended_at_ms: float
    cut: bool = False
    refused_as: str = ""
    ran: str = ""


@dataclass(slots=True)
class CallRecord:
    """One call of a caller, from its scheduled arrival to the answer or refusal it got last.

    `at_ms` is the time at which the call was due, after the load began.
    """

    caller: str
    call_id: str
    collection: str
    text: str
    at_ms: float
    deadline_ms: float
    latency_ms: float = 0.0
    outcome: CallOutcome = CallOutcome.LOST
    request_id: str = ""
    echoed_request_id: str = ""
    code: str = ""
    detail: str = ""
    ran: str = ""
    index_version: int = 0
    complete: bool = False
    covered: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
    rows: tuple[RowOrigin, ...] = ()
    attempts: list[CallAttempt] = field(default_factory=list)

    @property
    def coverage(self) -> float:
        """Return the share of parts that the answer reports as covered; 0 without an answer."""
        if self.outcome is not CallOutcome.ANSWER:
            return 0.0
        total = len(self.covered) + len(self.missing)
        return len(self.covered) / total if total else 1.0

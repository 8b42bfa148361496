"""Records of requests that were slow, partial or refused, with every attempt."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, ClassVar, Protocol

from result import Err, Result

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.endpoints import Attempt
from radishmount.queries._search import Search, SearchAnswer


__all__ = [
    "AttemptRecord",
    "ExplainLog",
    "ExplainableRecord",
    "SearchRecord",
    "SearchVerdict",
    "make_search_record",
]

MAX_RECORDS = 500


class SearchVerdict(StrEnum):
    """Why a search is recorded."""

    SLOW = "slow"
    PARTIAL = "partial"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt. Times are in milliseconds after the request arrived.

    `ended_after_ms` is none for an attempt that was still open or cancelled.
    """

    attempt: int
    purpose: str
    shard: str
    endpoint: str
    index_version: int
    submitted_after_ms: float
    ended_after_ms: float | None
    result: str


@dataclass(frozen=True, slots=True)
class SearchRecord:
    """What happened to one search. `at_ms` is the wall-clock time at which it ended."""

    request_id: str
    caller: str
    target: str
    verdict: SearchVerdict
    at_ms: float
    took_ms: float
    deadline_ms: float
    index_versions: tuple[int, ...] = ()
    missing: tuple[str, ...] = ()
    attempts: tuple[AttemptRecord, ...] = ()
    code: Code | None = None
    detail: str = ""


class ExplainableRecord(Protocol):
    """A record of a search or a forwarded request: a data class that operators may read in full."""

    __dataclass_fields__: ClassVar[dict[str, Any]]

    @property
    def request_id(self) -> str:
        """Return the request id, by which the record is looked up."""

    @property
    def code(self) -> Code | None:
        """Return the code of the refusal, none for an answer."""


@dataclass(slots=True)
class ExplainLog:
    """Keeps the most recent records by request id.

    log.find("entry-a-00ff")
    """

    limit: int = MAX_RECORDS
    records_by_request_id: OrderedDict[str, ExplainableRecord] = field(default_factory=OrderedDict)

    def add(self, record: ExplainableRecord) -> None:
        """Keep `record`, and drop the oldest ones beyond `limit`."""
        self.records_by_request_id[record.request_id] = record
        self.records_by_request_id.move_to_end(record.request_id)
        while len(self.records_by_request_id) > self.limit:
            self.records_by_request_id.popitem(last=False)

    def find(self, request_id: str) -> ExplainableRecord | None:
        """Return the record of a request, none if it was not recorded or is no longer kept."""
        return self.records_by_request_id.get(request_id)


def make_search_record(
    search: Search,
    verdict: SearchVerdict,
    result: Result[SearchAnswer, Refusal],
    attempts: Iterable[Attempt],
    clock: Clock,
) -> SearchRecord:
    """Return the record of a search that has ended."""
    arrived_at_ms = search.deadline_at_ms - search.deadline_ms
    records = tuple(_attempt_record(attempt, arrived_at_ms) for attempt in attempts)
    refusal = result.err_value if isinstance(result, Err) else None
    missing = () if isinstance(result, Err) else result.ok_value.coverage.missing
    return SearchRecord(
        request_id=search.request_id,
        caller=search.caller,
        target=search.collection.name,
        verdict=verdict,
        at_ms=clock.wall_ms(),
        took_ms=clock.now_ms() - arrived_at_ms,
        deadline_ms=search.deadline_ms,
        index_versions=tuple(dict.fromkeys(record.index_version for record in records)),
        missing=missing,
        attempts=records,
        code=refusal.code if refusal else None,
        detail=refusal.detail if refusal else "",
    )


def _attempt_record(attempt: Attempt, arrived_at_ms: float) -> AttemptRecord:
    ended_at_ms = attempt.ended_at_ms
    return AttemptRecord(
        attempt=attempt.request.attempt,
        purpose=attempt.purpose.value,
        shard=attempt.request.shard,
        endpoint=attempt.endpoint.name,
        index_version=attempt.request.index_version,
        submitted_after_ms=attempt.submitted_at_ms - arrived_at_ms,
        ended_after_ms=None if ended_at_ms is None else ended_at_ms - arrived_at_ms,
        result=attempt.result or ("GIVEN_UP" if attempt.cancelled else "OPEN"),
    )

"""The record of requests that were slow, partial or refused: what was tried, and why."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from radishmount.codes import Code


__all__ = ["AttemptRecord", "ExplainLog", "RequestRecord", "Verdict"]

KEPT_RECORDS = 500


class Verdict(StrEnum):
    """Why a request is kept in the log."""

    SLOW = "slow"
    PARTIAL = "partial"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt. Times are in milliseconds after the request; no end means it was given up."""

    attempt: int
    purpose: str
    shard: str
    endpoint: str
    index_version: int
    submitted_after_ms: float
    ended_after_ms: float | None
    result: str


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """What became of one request. `at_ms` is the time of day at which it ended."""

    request_id: str
    caller: str
    target: str
    verdict: Verdict
    at_ms: float
    took_ms: float
    deadline_ms: float
    index_versions: tuple[int, ...] = ()
    missing: tuple[str, ...] = ()
    attempts: tuple[AttemptRecord, ...] = ()
    code: Code | None = None
    detail: str = ""


@dataclass(slots=True)
class ExplainLog:
    """Keeps the last records by request id.

    log.find("entry-a-00ff")
    """

    limit: int = KEPT_RECORDS
    records_by_request_id: OrderedDict[str, RequestRecord] = field(default_factory=OrderedDict)

    def add(self, record: RequestRecord) -> None:
        """Keep `record`; the oldest goes when there are too many."""
        self.records_by_request_id[record.request_id] = record
        self.records_by_request_id.move_to_end(record.request_id)
        while len(self.records_by_request_id) > self.limit:
            self.records_by_request_id.popitem(last=False)

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, none when it was well or is no longer kept."""
        return self.records_by_request_id.get(request_id)

"""The record of one forwarded request, for the log and for `/explain`."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from result import Err

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.endpoints import Attempt, ForwardReply, Purpose
from radishmount.forwarding._outcome import ForwardOutcome, MergedAnswer
from radishmount.forwarding._plan import ForwardPlan


__all__ = [
    "ForwardAttempt",
    "ForwardRecord",
    "ForwardVerdict",
    "ForwardView",
    "make_forward_record",
    "determine_verdict",
]

RESULT_OK = "OK"


@dataclass(frozen=True, slots=True)
class ForwardView:
    """The instance's view: its configuration version and the age of its endpoint list."""

    version: int = 0
    endpoints_age_ms: float = 0.0


class ForwardVerdict(StrEnum):
    """How a request ended, the rarest first."""

    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"
    PARTIAL = "partial"
    LATE = "late"
    REPEATED = "repeated"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """One attempt. Times are in milliseconds after the request arrived.

    `sent_after_ms` and `ended_after_ms` are none for an attempt that was not sent or did not end.
    """

    service: str
    endpoint: str
    purpose: str
    chosen_after_ms: float
    sent_after_ms: float | None
    ended_after_ms: float | None
    result: str

    @property
    def is_first_success(self) -> bool:
        """Return whether this was a first attempt and succeeded."""
        return self.purpose == Purpose.FIRST and self.result == RESULT_OK


@dataclass(frozen=True, slots=True)
class ForwardRecord:
    """What happened to one request.

    `version` is that of the active configuration when the request ended; `endpoints_age_ms` is
    how long ago the endpoint list was last known to be current.
    """

    request_id: str
    route: str
    verdict: ForwardVerdict
    took_ms: float
    allowed_ms: float
    parts: int
    missing: tuple[str, ...]
    attempts: tuple[ForwardAttempt, ...]
    version: int
    endpoints_age_ms: float
    refusal: Refusal | None = None
    status: int | None = None

    @property
    def code(self) -> Code | None:
        """Return the code of the refusal, none for an answer."""
        return None if self.refusal is None else self.refusal.code

    def fields(self) -> dict[str, Any]:
        """Return the fields of its log line, without the first attempts that succeeded.

        What the instance believed comes first, as readers may cut long lines.
        """
        fields: dict[str, Any] = {
            "request_id": self.request_id,
            "version": self.version,
            "endpoints_age_ms": round(self.endpoints_age_ms),
            "route": self.route,
            "took_ms": round(self.took_ms, 1),
            "allowed_ms": round(self.allowed_ms),
            "parts": self.parts,
            "attempts": len(self.attempts),
        }
        if self.missing:
            fields["missing"] = list(self.missing)
        if self.status is not None:
            fields["status"] = self.status
        if self.refusal is not None:
            fields |= {
                "code": self.refusal.code.value,
                "code_name": self.refusal.code.name,
                "ran": self.refusal.ran.value,
                "detail": self.refusal.detail,
            }
        unusual_attempts = [
            _attempt_fields(attempt) for attempt in self.attempts if not attempt.is_first_success
        ]
        if unusual_attempts:
            fields["unusual_attempts"] = unusual_attempts
        return fields


def determine_verdict(
    plan: ForwardPlan, outcome: ForwardOutcome, attempts: Iterable[Attempt], took_ms: float
) -> ForwardVerdict:
    """Return how a request ended whose caller did not disconnect."""
    if isinstance(outcome, Err):
        is_refused = outcome.err_value.ran is RunStatus.NOT_RUN
        return ForwardVerdict.REFUSED if is_refused else ForwardVerdict.FAILED
    answer = outcome.ok_value
    if isinstance(answer, MergedAnswer):
        if answer.missing_count:
            return ForwardVerdict.PARTIAL
    elif answer.is_server_error:
        return ForwardVerdict.FAILED
    if took_ms > plan.route.target_latency_ms:
        return ForwardVerdict.LATE
    if any(attempt.purpose is not Purpose.FIRST for attempt in attempts):
        return ForwardVerdict.REPEATED
    return ForwardVerdict.ANSWERED


def make_forward_record(
    plan: ForwardPlan,
    verdict: ForwardVerdict,
    outcome: ForwardOutcome | None,
    attempts: Iterable[Attempt],
    missing: tuple[str, ...],
    clock: Clock,
    view: ForwardView,
) -> ForwardRecord:
    """Return the record of a request that has ended; `outcome` is none if it was abandoned."""
    refusal = outcome.err_value if isinstance(outcome, Err) else None
    answer = None if outcome is None else outcome.ok()
    return ForwardRecord(
        request_id=plan.call.request_id,
        route=plan.route.name,
        verdict=verdict,
        took_ms=clock.now_ms() - plan.arrived_at_ms,
        allowed_ms=plan.deadline_at_ms - plan.arrived_at_ms,
        parts=len(plan.services),
        missing=missing,
        attempts=tuple(_attempt_record(attempt, plan.arrived_at_ms) for attempt in attempts),
        version=view.version,
        endpoints_age_ms=view.endpoints_age_ms,
        refusal=refusal,
        status=answer.status if isinstance(answer, ForwardReply) else None,
    )


def _attempt_record(attempt: Attempt, arrived_at_ms: float) -> ForwardAttempt:
    def relative_ms(at_ms: float | None) -> float | None:
        return None if at_ms is None else round(at_ms - arrived_at_ms, 1)

    return ForwardAttempt(
        service=attempt.request.service,
        endpoint=attempt.endpoint.name,
        purpose=attempt.purpose.value,
        chosen_after_ms=round(attempt.submitted_at_ms - arrived_at_ms, 1),
        sent_after_ms=relative_ms(attempt.sent_at_ms),
        ended_after_ms=relative_ms(attempt.ended_at_ms),
        result=attempt.result or ("GIVEN_UP" if attempt.cancelled else "OPEN"),
    )


def _attempt_fields(attempt: ForwardAttempt) -> dict[str, Any]:
    return {
        "service": attempt.service,
        "endpoint": attempt.endpoint,
        "purpose": attempt.purpose,
        "chosen_after_ms": attempt.chosen_after_ms,
        "sent_after_ms": attempt.sent_after_ms,
        "ended_after_ms": attempt.ended_after_ms,
        "result": attempt.result,
    }

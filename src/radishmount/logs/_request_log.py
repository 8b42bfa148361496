"""Writes log lines for forwarded requests."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.forwarding import ForwardRecord, ForwardVerdict
from radishmount.logs._rate_limiter import WINDOW_MS, LineRateLimiter


__all__ = ["Emit", "RequestLog"]

# Failures get the highest limits. Ordinary answers are sampled, as counters cover them already.
LINES_PER_S_BY_KIND = {
    ForwardVerdict.FAILED: 20,
    ForwardVerdict.REFUSED: 20,
    ForwardVerdict.PARTIAL: 5,
    ForwardVerdict.LATE: 5,
    ForwardVerdict.ABANDONED: 2,
    ForwardVerdict.REPEATED: 3,
    ForwardVerdict.ANSWERED: 1,
}

Emit = Callable[[str, Mapping[str, Any]], None]
"""Writes one line, given what happened and the fields of the line."""


@dataclass(slots=True)
class RequestLog:
    """Writes a line for each forwarded request, within a rate limit for each verdict.

    Withheld lines are counted, and the counts are logged at most once per second.
    """

    clock: Clock
    counters: Counters
    emit: Emit
    rate_limiter: LineRateLimiter = field(
        default_factory=lambda: LineRateLimiter(
            {k.value: n for k, n in LINES_PER_S_BY_KIND.items()}
        )
    )
    withheld_reported_at_ms: float = float("-inf")

    def write(self, record: ForwardRecord) -> None:
        """Write the line of a request, unless the rate limit of its kind is reached."""
        now_ms = self.clock.now_ms()
        self._report_withheld(now_ms)
        kind = record.verdict.value
        if self.rate_limiter.try_acquire(kind, now_ms):
            self.emit(f"request {kind}", record.fields())
        else:
            self.counters.add("log_lines_withheld", kind)

    def _report_withheld(self, now_ms: float) -> None:
        if (
            now_ms - self.withheld_reported_at_ms < WINDOW_MS
            or not self.rate_limiter.withheld_by_kind
        ):
            return
        self.withheld_reported_at_ms = now_ms
        self.emit("lines withheld", {"withheld": self.rate_limiter.pop_withheld_counts()})

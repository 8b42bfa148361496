"""Which requests get a line, and what it says."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.forwarding import ForwardRecord, ForwardVerdict
from radishmount.logs._rate_limiter import WINDOW_MS, LineRateLimiter


__all__ = ["Emit", "RequestLog"]

# Failures go first; an ordinary answer is sampled, as its line tells nothing that counters do not.
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
"""Writes one line: what happened, and its fields."""


@dataclass(slots=True)
class RequestLog:
    """Writes lines for forwarded requests within a budget for each kind.

    What is withheld is counted, and told in a line of its own at most once a second.
    """

    clock: Clock
    counters: Counters
    emit: Emit
    rate_limiter: LineRateLimiter = field(
        default_factory=lambda: LineRateLimiter(
            {k.value: n for k, n in LINES_PER_S_BY_KIND.items()}
        )
    )
    told_at_ms: float = float("-inf")

    def write(self, record: ForwardRecord) -> None:
        """Write the line of a request, if its kind has one left."""
        now_ms = self.clock.now_ms()
        self._tell_withheld(now_ms)
        kind = record.verdict.value
        if self.rate_limiter.try_acquire(kind, now_ms):
            self.emit(f"request {kind}", record.fields())
        else:
            self.counters.add("log_lines_withheld", kind)

    def _tell_withheld(self, now_ms: float) -> None:
        if now_ms - self.told_at_ms < WINDOW_MS or not self.rate_limiter.withheld_by_kind:
            return
        self.told_at_ms = now_ms
        self.emit("lines withheld", {"withheld": self.rate_limiter.pop_withheld_counts()})

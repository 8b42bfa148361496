"""Recognizes callers that come back sooner than they were asked to."""

from dataclasses import dataclass, field


__all__ = ["EarlyReturns"]

MAX_REMEMBERED = 2_048  # a few seconds of refusals
DUE_TOLERANCE = 0.8  # of the time that was asked for; clocks and timers differ


@dataclass(slots=True)
class EarlyReturns:
    """When the callers that were refused were asked to come back, the oldest refusal first."""

    due_at_ms_by_caller: dict[int, float] = field(default_factory=dict)

    def is_early(self, caller_key: int, now_ms: float) -> bool:
        """Return whether this request was refused, and its caller was asked to come later."""
        return now_ms < self.due_at_ms_by_caller.get(caller_key, now_ms)

    def record_refusal(self, caller_key: int, retry_after_ms: float, now_ms: float) -> None:
        """Remember when the caller of a refused request is due."""
        self.due_at_ms_by_caller.pop(caller_key, None)
        if len(self.due_at_ms_by_caller) >= MAX_REMEMBERED:
            del self.due_at_ms_by_caller[next(iter(self.due_at_ms_by_caller))]
        self.due_at_ms_by_caller[caller_key] = now_ms + DUE_TOLERANCE * retry_after_ms

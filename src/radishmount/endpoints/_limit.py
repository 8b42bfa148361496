"""How many requests of this instance one endpoint works on at once."""

from dataclasses import dataclass


__all__ = ["InFlightLimit"]

MAX_LIMIT = 64.0
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL_MS = 100.0
QUEUEING_FACTOR = 2.5
QUEUEING_SLACK_MS = 5.0
FLOOR_GROWTH = 1.01


@dataclass(slots=True)
class InFlightLimit:
    """Grows by one for each full round of quick replies, and shrinks when requests queue.

    Queueing is seen in latencies far above the least one, or in the report. `minimum` keeps the
    slots of the endpoint busy: it is this instance's part of them.
    """

    minimum: int = 1
    value: float = MAX_LIMIT
    min_latency_ms: float | None = None
    decreased_at_ms: float = 0.0

    def record_reply(self, latency_ms: float, reported_queueing: bool, now_ms: float) -> None:
        """Take a reply."""
        if self.min_latency_ms is None:
            self.min_latency_ms = latency_ms
        self.min_latency_ms = min(latency_ms, self.min_latency_ms * FLOOR_GROWTH)
        slow = latency_ms > self.min_latency_ms * QUEUEING_FACTOR + QUEUEING_SLACK_MS
        if slow or reported_queueing:
            self.decrease(now_ms)
            return
        self.value = min(MAX_LIMIT, self.value + 1.0 / self.value)

    def decrease(self, now_ms: float) -> None:
        """Lower the limit, at most once in a while."""
        if now_ms - self.decreased_at_ms < DECREASE_INTERVAL_MS:
            return
        self.decreased_at_ms = now_ms
        self.value = max(float(self.minimum), self.value * DECREASE_FACTOR)

    def decrease_from(self, in_use: int, now_ms: float) -> None:
        """Lower the limit from what is in use, when it was never reached."""
        self.value = min(self.value, float(max(in_use, self.minimum)))
        self.decrease(now_ms)

"""An adaptive limit on the requests of this instance that one endpoint processes at once."""

from dataclasses import dataclass


__all__ = ["InFlightLimit"]

MAX_LIMIT = 64.0
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL_MS = 100.0
QUEUEING_FACTOR = 2.5
QUEUEING_SLACK_MS = 5.0
MIN_LATENCY_GROWTH = 1.01  # per reply, so that an outdated lowest latency is forgotten


@dataclass(slots=True)
class InFlightLimit:
    """Additive increase, multiplicative decrease of the requests in flight to an endpoint.

    The limit grows by one for each full round of fast replies (as many as the limit), and is cut
    when requests queue at the endpoint. Queueing shows in latencies far above the lowest one, or in
    the load report. The limit never falls below `minimum`, this instance's share of the endpoint's
    slots, so that the slots stay in use.
    """

    minimum: int = 1
    value: float = MAX_LIMIT
    min_latency_ms: float | None = None
    decreased_at_ms: float = 0.0

    def record_reply(self, latency_ms: float, reported_queueing: bool, now_ms: float) -> None:
        """Raise the limit after a fast reply, or lower it after one that shows queueing."""
        if self.min_latency_ms is None:
            self.min_latency_ms = latency_ms
        self.min_latency_ms = min(latency_ms, self.min_latency_ms * MIN_LATENCY_GROWTH)
        slow = latency_ms > self.min_latency_ms * QUEUEING_FACTOR + QUEUEING_SLACK_MS
        if slow or reported_queueing:
            self.decrease(now_ms)
            return
        self.value = min(MAX_LIMIT, self.value + 1.0 / self.value)

    def decrease(self, now_ms: float) -> None:
        """Lower the limit, at most once in `DECREASE_INTERVAL_MS`."""
        if now_ms - self.decreased_at_ms < DECREASE_INTERVAL_MS:
            return
        self.decreased_at_ms = now_ms
        self.value = max(float(self.minimum), self.value * DECREASE_FACTOR)

    def decrease_from(self, in_use: int, now_ms: float) -> None:
        """Lower the limit, starting from `in_use` requests where the limit was not reached."""
        self.value = min(self.value, float(max(in_use, self.minimum)))
        self.decrease(now_ms)

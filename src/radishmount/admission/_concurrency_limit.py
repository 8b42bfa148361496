"""An adaptive limit on the concurrent requests to one target, from queues and latency."""

import math
from dataclasses import dataclass


__all__ = ["ConcurrencyLimit"]

SMOOTHING_WEIGHT = 0.1
WINDOW_MS = 10_000.0
GROW_BELOW_QUEUED_PER_SLOT = 0.2
SHRINK_ABOVE_QUEUED_PER_SLOT = 0.5
SHRINK_ABOVE_LATENCY_RATIO = 4.0
SHRINK_FACTOR = 0.9
INITIAL_LIMIT_FACTOR = 2.0
MAX_LIMIT_FACTOR = 64.0


@dataclass(slots=True)
class ConcurrencyLimit:
    """A limit that adapts to the queues at the endpoints, between a floor and a ceiling.

    Both are derived from `share`, this instance's share of the slots of the endpoints. The limit
    grows while it is fully used and the endpoints have hardly any queue. It shrinks when the
    queued requests per slot exceed `SHRINK_ABOVE_QUEUED_PER_SLOT`. As reports may be false, it
    also shrinks when the latency is far above the minimum of the last windows; far above, so that
    a single straggler does not shrink it.
    """

    share: float
    limit: float = 0.0
    smoothed_latency_ms: float = 0.0
    window_min_ms: float = math.inf
    previous_window_min_ms: float = math.inf
    window_ends_at_ms: float = 0.0
    shrunk_at_ms: float = -math.inf

    def __post_init__(self) -> None:
        """Start well above the floor, so that a new instance refuses nothing needlessly."""
        self.limit = self.floor * INITIAL_LIMIT_FACTOR

    @property
    def floor(self) -> float:
        """Return the minimum of the limit."""
        return max(1.0, self.share)

    @property
    def min_latency_ms(self) -> float:
        """Return the latency of requests that do not queue, zero while none is known."""
        min_ms = min(self.window_min_ms, self.previous_window_min_ms)
        return 0.0 if min_ms == math.inf else min_ms

    def allows(self, running: int) -> bool:
        """Return whether one more request may run."""
        return running < int(self.limit)

    def record_latency(
        self, latency_ms: float, running: int, queued_per_slot: float, now_ms: float
    ) -> None:
        """Adjust the limit after a request that took `latency_ms`.

        `running` is how many requests were running, including this one; `queued_per_slot` is how
        many requests are queued per slot at the endpoints.
        """
        self._update_latency(latency_ms, now_ms)
        is_slow = self.smoothed_latency_ms > self.min_latency_ms * SHRINK_ABOVE_LATENCY_RATIO
        if queued_per_slot > SHRINK_ABOVE_QUEUED_PER_SLOT or is_slow:
            self._shrink(now_ms)
        elif queued_per_slot < GROW_BELOW_QUEUED_PER_SLOT and running >= int(self.limit):
            self.limit = min(self.floor * MAX_LIMIT_FACTOR, self.limit + 1.0 / self.limit)

    def _update_latency(self, latency_ms: float, now_ms: float) -> None:
        if not self.smoothed_latency_ms:
            self.smoothed_latency_ms = latency_ms
        self.smoothed_latency_ms += SMOOTHING_WEIGHT * (latency_ms - self.smoothed_latency_ms)
        if now_ms >= self.window_ends_at_ms:
            self.previous_window_min_ms = self.window_min_ms
            self.window_min_ms = math.inf
            self.window_ends_at_ms = now_ms + WINDOW_MS
        self.window_min_ms = min(self.window_min_ms, self.smoothed_latency_ms)

    def _shrink(self, now_ms: float) -> None:
        """Shrink the limit, at most once per request latency, so that each step can take effect."""
        if now_ms - self.shrunk_at_ms < self.smoothed_latency_ms:
            return
        self.shrunk_at_ms = now_ms
        self.limit = max(self.floor, self.limit * SHRINK_FACTOR)

"""How many requests to one target may run at once, found from queues and latency."""

import math
from dataclasses import dataclass


__all__ = ["ConcurrencyLimit"]

SMOOTHING = 0.1
WINDOW_MS = 10_000.0
GROW_BELOW_CROWDING = 0.2
SHRINK_ABOVE_CROWDING = 0.5
SHRINK_ABOVE_LATENCY = 4.0
SHRINK_FACTOR = 0.9
START_FACTOR = 2.0
MAX_FACTOR = 64.0


@dataclass(slots=True)
class ConcurrencyLimit:
    """A limit that follows the queues at the endpoints between a floor and a ceiling.

    Both come from `share`, this instance's part of the slots of the endpoints. The limit grows
    while it is used up and the endpoints have hardly any queue. It shrinks when their queues are
    longer than their slots, or when latency is far above the lowest of the last windows: reports
    may lie, and a straggler alone must not shrink it.
    """

    share: float
    limit: float = 0.0
    smoothed_ms: float = 0.0
    lowest_ms: float = math.inf
    lowest_before_ms: float = math.inf
    window_ends_at_ms: float = 0.0
    shrunk_at_ms: float = -math.inf

    def __post_init__(self) -> None:
        """Start well above the floor, so that a new instance refuses nothing without need."""
        self.limit = self.floor * START_FACTOR

    @property
    def floor(self) -> float:
        """Return the limit below which an instance never goes."""
        return max(1.0, self.share)

    @property
    def base_ms(self) -> float:
        """Return the latency of requests that do not wait, zero while nothing is known."""
        lowest_ms = min(self.lowest_ms, self.lowest_before_ms)
        return 0.0 if lowest_ms == math.inf else lowest_ms

    def allows(self, running: int) -> bool:
        """Tell whether one more request may run."""
        return running < int(self.limit)

    def record_latency(
        self, latency_ms: float, running: int, crowding: float, now_ms: float
    ) -> None:
        """Take the latency of a request that ended while `running` ran, itself among them.

        `crowding` is how many requests wait at the endpoints for each slot.
        """
        self._keep_latency(latency_ms, now_ms)
        is_slow = self.smoothed_ms > self.base_ms * SHRINK_ABOVE_LATENCY
        if crowding > SHRINK_ABOVE_CROWDING or is_slow:
            self._shrink(now_ms)
        elif crowding < GROW_BELOW_CROWDING and running >= int(self.limit):
            self.limit = min(self.floor * MAX_FACTOR, self.limit + 1.0 / self.limit)

    def _keep_latency(self, latency_ms: float, now_ms: float) -> None:
        if not self.smoothed_ms:
            self.smoothed_ms = latency_ms
        self.smoothed_ms += SMOOTHING * (latency_ms - self.smoothed_ms)
        if now_ms >= self.window_ends_at_ms:
            self.lowest_before_ms = self.lowest_ms
            self.lowest_ms = math.inf
            self.window_ends_at_ms = now_ms + WINDOW_MS
        self.lowest_ms = min(self.lowest_ms, self.smoothed_ms)

    def _shrink(self, now_ms: float) -> None:
        """Shrink at most once in the time that a request takes, so that the effect is seen."""
        if now_ms - self.shrunk_at_ms < self.smoothed_ms:
            return
        self.shrunk_at_ms = now_ms
        self.limit = max(self.floor, self.limit * SHRINK_FACTOR)

"""What an endpoint stand-in does wrong, and how long its work takes."""

from dataclasses import dataclass
from random import Random


__all__ = ["EndpointBehaviour"]

LEAST_SHARE = 0.7
SHARE_SPREAD = 0.6


@dataclass(slots=True)
class EndpointBehaviour:
    """All of it may change while the stand-in runs. Times ending in `_at_ms` are monotonic.

    Connections that were opened before `silent_before_ms` say nothing any more. Work after a
    cold start takes up to `cold_factor` times as long, fading until `cold_until_ms`.
    """

    service_ms: float = 2.0
    factor: float = 1.0
    slow_ratio: float = 0.0
    slow_ms: float = 0.0
    connect_ms: float = 0.0
    silent: bool = False
    silent_before_ms: float | None = None
    shedding: bool = False
    draining: bool = False
    leaving_since_ms: float | None = None
    reported_in_flight: int | None = None
    cold_factor: float = 1.0
    cold_from_ms: float = 0.0
    cold_until_ms: float = 0.0

    def work_ms(self, now_ms: float, random: Random) -> float:
        """Return how long one piece of work takes."""
        spread = LEAST_SHARE + SHARE_SPREAD * random.random()
        work_ms = self.service_ms * spread * self.factor * self._cold(now_ms)
        if random.random() < self.slow_ratio:
            work_ms += self.slow_ms
        return work_ms

    def _cold(self, now_ms: float) -> float:
        if now_ms >= self.cold_until_ms:
            return 1.0
        left = (self.cold_until_ms - now_ms) / (self.cold_until_ms - self.cold_from_ms)
        return 1.0 + (self.cold_factor - 1.0) * left

"""The faults of an endpoint stand-in, and how long its work takes."""

from dataclasses import dataclass
from random import Random


__all__ = ["EndpointBehaviour"]

MIN_SERVICE_TIME_SHARE = 0.7
SERVICE_TIME_SHARE_RANGE = 0.6


@dataclass(slots=True)
class EndpointBehaviour:
    """The behaviour of one endpoint stand-in, which may be changed while it runs.

    `service_ms` is the mean service time, multiplied by `slow_factor`; a share `slow_ratio` of the
    requests takes `slow_ms` longer. `connect_ms` delays the first request of each connection.
    `silent` stops all replies, and `silent_before_ms` those on connections opened before that time.
    `reported_in_flight` replaces the true number in load reports. After a cold start, work takes
    `cold_factor` times as long at `cold_from_ms`, and the factor falls linearly to 1 at
    `cold_until_ms`. Points in time are monotonic.
    """

    service_ms: float = 2.0
    slow_factor: float = 1.0
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
        """Return how long one request takes, drawn from `random`."""
        share = MIN_SERVICE_TIME_SHARE + SERVICE_TIME_SHARE_RANGE * random.random()
        work_ms = self.service_ms * share * self.slow_factor * self._cold_start_factor(now_ms)
        if random.random() < self.slow_ratio:
            work_ms += self.slow_ms
        return work_ms

    def _cold_start_factor(self, now_ms: float) -> float:
        if now_ms >= self.cold_until_ms:
            return 1.0
        share_left = (self.cold_until_ms - now_ms) / (self.cold_until_ms - self.cold_from_ms)
        return 1.0 + (self.cold_factor - 1.0) * share_left

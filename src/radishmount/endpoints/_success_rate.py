"""The recent share of requests that an endpoint has answered."""

from dataclasses import dataclass

from radishmount.endpoints._latency import decay_weight


__all__ = ["SuccessRate"]

SUCCESS_WEIGHT = 0.1  # ten successes in a row offset most of a failure
FAILURE_WEIGHT = 0.25  # three failures must show where requests are few
HALF_LIFE_MS = 3_000.0  # the same as for latencies, see _latency.py
MIN_RATE = 0.05  # an endpoint that answers nothing still gets a few requests


@dataclass(slots=True)
class SuccessRate:
    """An exponential moving average of successes among the requests that an endpoint received.

    It shows endpoints that quickly refuse or fail a part of their requests, which by their latency
    alone would look fast.
    """

    rate: float = 1.0
    updated_at_ms: float = 0.0

    def record_success(self, now_ms: float) -> None:
        """Count a request that was answered."""
        self._update(1.0, SUCCESS_WEIGHT, now_ms)

    def record_failure(self, now_ms: float) -> None:
        """Count a request that was refused, failed or lost."""
        self._update(0.0, FAILURE_WEIGHT, now_ms)

    def rate_at(self, now_ms: float) -> float:
        """Return the rate, which decays towards 1 with the age of the last request."""
        weight = decay_weight(now_ms - self.updated_at_ms, HALF_LIFE_MS)
        return max(MIN_RATE, 1.0 - weight * (1.0 - self.rate))

    def _update(self, outcome: float, weight: float, now_ms: float) -> None:
        current = self.rate_at(now_ms)
        self.rate = current + weight * (outcome - current)
        self.updated_at_ms = now_ms

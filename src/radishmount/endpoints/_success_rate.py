"""The share of requests that an endpoint has answered lately."""

from dataclasses import dataclass

from radishmount.endpoints._latency import decay_weight


__all__ = ["SuccessRate"]

ANSWER_WEIGHT = 0.1  # ten answers in a row make up for most of a failure
FAILURE_WEIGHT = 0.25  # where requests are few, three failures must be enough to tell
HALF_LIFE_MS = 3_000.0  # as long as a latency is remembered
LEAST_SHARE = 0.05  # an endpoint that answers nothing is still tried now and then


@dataclass(slots=True)
class SuccessRate:
    """A moving share of answers among the requests that reached an endpoint.

    It tells of endpoints that refuse or fail a part of their requests at once: by their latency
    alone they would look quick.
    """

    rate: float = 1.0
    updated_at_ms: float = 0.0

    def record_success(self, now_ms: float) -> None:
        """Take a request that was answered."""
        self._take(1.0, ANSWER_WEIGHT, now_ms)

    def record_failure(self, now_ms: float) -> None:
        """Take a request that was refused, failed or lost."""
        self._take(0.0, FAILURE_WEIGHT, now_ms)

    def rate_at(self, now_ms: float) -> float:
        """Return the share, which goes back to one with the age of what was seen."""
        weight = decay_weight(now_ms - self.updated_at_ms, HALF_LIFE_MS)
        return max(LEAST_SHARE, 1.0 - weight * (1.0 - self.rate))

    def _take(self, outcome: float, weight: float, now_ms: float) -> None:
        present = self.rate_at(now_ms)
        self.rate = present + weight * (outcome - present)
        self.updated_at_ms = now_ms

"""Exponential backoff with jitter, so that instances do not retry at the same moment."""

from dataclasses import dataclass
from random import Random


__all__ = ["Backoff"]


@dataclass(slots=True)
class Backoff:
    """Doubles the delay after each failure, from `initial_ms` up to `max_ms`.

    backoff = Backoff(random, initial_ms=200.0, max_ms=5_000.0)
    await clock.sleep_ms(backoff.next_ms())
    """

    random: Random
    initial_ms: float
    max_ms: float
    failures: int = 0

    def next_ms(self) -> float:
        """Count a failure and return the delay: random between half of the bound and the bound."""
        bound_ms = min(self.max_ms, self.initial_ms * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return bound_ms * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again from `initial_ms`."""
        self.failures = 0

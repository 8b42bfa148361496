"""Growing pauses between attempts, with jitter so that instances do not act in step."""

from dataclasses import dataclass
from random import Random


__all__ = ["Backoff"]


@dataclass(slots=True)
class Backoff:
    """Doubles the pause after each failure, from `first_ms` up to `limit_ms`.

    backoff = Backoff(random, first_ms=200.0, limit_ms=5_000.0)
    await clock.sleep_ms(backoff.next_ms())
    """

    random: Random
    first_ms: float
    limit_ms: float
    failures: int = 0

    def next_ms(self) -> float:
        """Return the pause after one more failure: between half of the bound and the bound."""
        bound_ms = min(self.limit_ms, self.first_ms * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return bound_ms * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again from the first pause."""
        self.failures = 0

"""Ejection: avoiding an endpoint after repeated connection failures, timeouts or lost exchanges."""

from dataclasses import dataclass


__all__ = ["Ejection", "max_ejected"]

FAILURES_BEFORE_EJECTION = 3
LOST_EXCHANGES_BEFORE_EJECTION = 6
RECOVERY_MS = 5_000.0
FIXED_EJECTION_MS = 2_000.0


def max_ejected(replicas: int) -> int:
    """Return how many of a shard's replicas may be ejected at once: half, rounded down."""
    return replicas // 2


@dataclass(slots=True)
class Ejection:
    """The consecutive failures of one endpoint, and since when it is ejected.

    An ejection ends after `RECOVERY_MS` of successes without a failure in between. Where `steady`
    is off, it ends with the first success after `FIXED_EJECTION_MS`.
    """

    steady: bool = True
    consecutive_failures: int = 0
    consecutive_lost_exchanges: int = 0
    ejected_since_ms: float | None = None
    healthy_since_ms: float | None = None

    def record_failure(self, now_ms: float) -> bool:
        """Count a failure; return whether the endpoint is now to be ejected."""
        self.consecutive_failures += 1
        self.healthy_since_ms = None
        return (
            self.ejected_since_ms is None and self.consecutive_failures >= FAILURES_BEFORE_EJECTION
        )

    def record_lost_exchange(self) -> bool:
        """Count a lost exchange, even where probes are answered; return whether to eject."""
        self.consecutive_lost_exchanges += 1
        return (
            self.ejected_since_ms is None
            and self.consecutive_lost_exchanges >= LOST_EXCHANGES_BEFORE_EJECTION
        )

    def record_reply(self) -> None:
        """Restart the count of lost exchanges after an exchange that was answered."""
        self.consecutive_lost_exchanges = 0

    def begin(self, now_ms: float) -> None:
        """Eject the endpoint."""
        self.ejected_since_ms = now_ms
        self.healthy_since_ms = None
        self.consecutive_lost_exchanges = 0

    def record_success(self, now_ms: float) -> bool:
        """Count a reply or an answered probe; return whether it ends an ejection."""
        self.consecutive_failures = 0
        if self.ejected_since_ms is None:
            return False
        if self.healthy_since_ms is None:
            self.healthy_since_ms = now_ms
        began_ms = self.healthy_since_ms if self.steady else self.ejected_since_ms
        if now_ms - began_ms < (RECOVERY_MS if self.steady else FIXED_EJECTION_MS):
            return False
        self.ejected_since_ms = None
        self.healthy_since_ms = None
        return True

"""How long to wait for an endpoint: before a second one is asked, and before it is given up."""

from collections import deque
from dataclasses import dataclass, field

from radishmount.publication import Preference


__all__ = ["LatencyWindow", "hedge_delay_ms", "progress_limit_ms"]

KEPT_LATENCIES = 256
REFRESH_EVERY = 32
HEDGE_QUANTILE_BY_PREFERENCE = {Preference.COVERAGE: 0.98, Preference.TAIL: 0.95}
UNKNOWN_HEDGE_DELAY_MS = 30.0
MIN_HEDGE_DELAY_MS = 1.0
HEDGE_MARGIN_FACTOR = 1.2
PROGRESS_QUANTILE = 0.95
PROGRESS_FACTOR = 6.0
MIN_PROGRESS_LIMIT_MS = 80.0
UNKNOWN_PROGRESS_LIMIT_MS = 500.0


@dataclass(slots=True)
class LatencyWindow:
    """The last latencies of one service, and their order."""

    latencies_ms: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT_LATENCIES))
    ordered_ms: list[float] = field(default_factory=list)
    since_refresh: int = 0

    def add(self, latency_ms: float) -> None:
        """Take one latency; the order is renewed now and then."""
        self.latencies_ms.append(latency_ms)
        self.since_refresh += 1
        if self.since_refresh >= REFRESH_EVERY or len(self.ordered_ms) < REFRESH_EVERY:
            self.ordered_ms = sorted(self.latencies_ms)
            self.since_refresh = 0

    def quantile_ms(self, quantile: float) -> float | None:
        """Return the latency at `quantile`, none while nothing is known."""
        if not self.ordered_ms:
            return None
        index = min(len(self.ordered_ms) - 1, int(quantile * len(self.ordered_ms)))
        return self.ordered_ms[index]


def hedge_delay_ms(window: LatencyWindow, preference: Preference) -> float:
    """Return how long to wait for a first endpoint before a second one is asked."""
    quantile_ms = window.quantile_ms(HEDGE_QUANTILE_BY_PREFERENCE[preference])
    if quantile_ms is None:
        return UNKNOWN_HEDGE_DELAY_MS
    return max(MIN_HEDGE_DELAY_MS, HEDGE_MARGIN_FACTOR * quantile_ms)


def progress_limit_ms(window: LatencyWindow) -> float:
    """Return how long an exchange may go on before its connection is taken to be silent."""
    quantile_ms = window.quantile_ms(PROGRESS_QUANTILE)
    if quantile_ms is None:
        return UNKNOWN_PROGRESS_LIMIT_MS
    return max(MIN_PROGRESS_LIMIT_MS, PROGRESS_FACTOR * quantile_ms)

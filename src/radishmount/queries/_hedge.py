"""The delay after which a second endpoint is asked."""

from collections import deque
from dataclasses import dataclass, field

from radishmount.publication import Preference


__all__ = ["LatencyWindow", "hedge_delay_ms"]

KEPT_LATENCIES = 256
REFRESH_EVERY = 32
HEDGE_QUANTILE_BY_PREFERENCE = {Preference.COVERAGE: 0.97, Preference.TAIL: 0.93}
UNKNOWN_HEDGE_DELAY_MS = 30.0
MIN_HEDGE_DELAY_MS = 1.0


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
    return max(MIN_HEDGE_DELAY_MS, quantile_ms)

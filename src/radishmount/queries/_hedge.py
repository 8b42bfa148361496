"""How long to wait for an endpoint: before a second one is asked, and before it is given up."""

from collections import deque
from dataclasses import dataclass, field

from radishmount.publication import Preference


__all__ = ["LatencyWindow", "hedge_delay_ms", "exchange_timeout_ms"]

KEPT_LATENCIES = 256
REFRESH_EVERY = 32
ENOUGH_FOR_QUANTILES = 64
LATEST_HEDGE_QUANTILE = 0.98
LATEST_HEDGE_FACTOR = 1.2
EARLIEST_HEDGE_QUANTILE_BY_PREFERENCE = {Preference.COVERAGE: 0.96, Preference.TAIL: 0.94}
MEDIAN_FACTOR_BY_PREFERENCE = {Preference.COVERAGE: 2.0, Preference.TAIL: 1.75}
UNKNOWN_HEDGE_DELAY_MS = 30.0
MIN_HEDGE_DELAY_MS = 1.0
PROGRESS_QUANTILE = 0.95
PROGRESS_FACTOR = 6.0
MIN_PROGRESS_LIMIT_MS = 120.0
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
    """Return how long to wait for a first endpoint before a second one is asked.

    That is a multiple of the median, which few latencies tell well enough. Once there are many,
    it is no less than a quantile that keeps most hedges within their budget; it is never much
    more than nearly all replies take.
    """
    median_ms = window.quantile_ms(0.5)
    latest_ms = window.quantile_ms(LATEST_HEDGE_QUANTILE)
    if median_ms is None or latest_ms is None:
        return UNKNOWN_HEDGE_DELAY_MS
    delay_ms = MEDIAN_FACTOR_BY_PREFERENCE[preference] * median_ms
    if len(window.ordered_ms) >= ENOUGH_FOR_QUANTILES:
        earliest_ms = window.quantile_ms(EARLIEST_HEDGE_QUANTILE_BY_PREFERENCE[preference])
        delay_ms = max(delay_ms, earliest_ms or 0.0)
    return max(MIN_HEDGE_DELAY_MS, min(delay_ms, LATEST_HEDGE_FACTOR * latest_ms))


def exchange_timeout_ms(window: LatencyWindow) -> float:
    """Return how long an exchange may go on before its connection is taken to be silent."""
    quantile_ms = window.quantile_ms(PROGRESS_QUANTILE)
    if quantile_ms is None:
        return UNKNOWN_PROGRESS_LIMIT_MS
    return max(MIN_PROGRESS_LIMIT_MS, PROGRESS_FACTOR * quantile_ms)

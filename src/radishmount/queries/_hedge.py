"""How long to wait for a reply before a hedge is sent, and before the exchange times out."""

from collections import deque
from dataclasses import dataclass, field

from radishmount.publication import Preference


__all__ = ["LatencyWindow", "hedge_delay_ms", "exchange_timeout_ms"]

MAX_LATENCIES = 256
SORT_EVERY = 32
MIN_LATENCIES_FOR_QUANTILES = 64
MAX_HEDGE_QUANTILE = 0.98
MAX_HEDGE_FACTOR = 1.2
MIN_HEDGE_QUANTILE_BY_PREFERENCE = {Preference.COVERAGE: 0.96, Preference.TAIL: 0.94}
MEDIAN_FACTOR_BY_PREFERENCE = {Preference.COVERAGE: 2.0, Preference.TAIL: 1.75}
DEFAULT_HEDGE_DELAY_MS = 30.0
MIN_HEDGE_DELAY_MS = 1.0
EXCHANGE_TIMEOUT_QUANTILE = 0.95
EXCHANGE_TIMEOUT_FACTOR = 6.0
MIN_EXCHANGE_TIMEOUT_MS = 120.0
DEFAULT_EXCHANGE_TIMEOUT_MS = 500.0


@dataclass(slots=True)
class LatencyWindow:
    """The last latencies of one service or route, and a sorted copy of them for quantiles."""

    latencies_ms: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_LATENCIES))
    sorted_ms: list[float] = field(default_factory=list)
    added_since_sort: int = 0

    def add(self, latency_ms: float) -> None:
        """Add one latency.

        The sorted copy is updated at once while it is short, and later after every `SORT_EVERY`
        latencies.
        """
        self.latencies_ms.append(latency_ms)
        self.added_since_sort += 1
        if self.added_since_sort >= SORT_EVERY or len(self.sorted_ms) < SORT_EVERY:
            self.sorted_ms = sorted(self.latencies_ms)
            self.added_since_sort = 0

    def quantile_ms(self, quantile: float) -> float | None:
        """Return the latency at `quantile`, none while there is no latency."""
        if not self.sorted_ms:
            return None
        index = min(len(self.sorted_ms) - 1, int(quantile * len(self.sorted_ms)))
        return self.sorted_ms[index]


def hedge_delay_ms(window: LatencyWindow, preference: Preference) -> float:
    """Return how long to wait for the first endpoint before a hedge is sent to a second one.

    The delay is a multiple of the median, because few latencies suffice to estimate a median.
    Once there are many, it is at least a quantile that keeps most hedges within their budget. The
    delay is never much longer than the time within which nearly all replies arrive.
    """
    median_ms = window.quantile_ms(0.5)
    max_quantile_ms = window.quantile_ms(MAX_HEDGE_QUANTILE)
    if median_ms is None or max_quantile_ms is None:
        return DEFAULT_HEDGE_DELAY_MS
    delay_ms = MEDIAN_FACTOR_BY_PREFERENCE[preference] * median_ms
    if len(window.sorted_ms) >= MIN_LATENCIES_FOR_QUANTILES:
        min_quantile_ms = window.quantile_ms(MIN_HEDGE_QUANTILE_BY_PREFERENCE[preference])
        delay_ms = max(delay_ms, min_quantile_ms or 0.0)
    return max(MIN_HEDGE_DELAY_MS, min(delay_ms, MAX_HEDGE_FACTOR * max_quantile_ms))


def exchange_timeout_ms(window: LatencyWindow) -> float:
    """Return how long an exchange may take before its connection is considered silent."""
    quantile_ms = window.quantile_ms(EXCHANGE_TIMEOUT_QUANTILE)
    if quantile_ms is None:
        return DEFAULT_EXCHANGE_TIMEOUT_MS
    return max(MIN_EXCHANGE_TIMEOUT_MS, EXCHANGE_TIMEOUT_FACTOR * quantile_ms)

"""When a second endpoint is asked, from the recent latencies of a route."""

from radishmount.queries import LatencyWindow


__all__ = ["hedge_after_ms"]

HEDGE_QUANTILE = 0.9  # a tenth of the parts is hedged, half of the usual budget of repeats
HEDGE_FACTOR = 1.1  # above the quantile, so that a small shift of all latencies hedges nothing
UNKNOWN_SHARE_OF_TARGET = 0.3  # of the route's target latency, while no latency is known
MAX_SHARE_OF_TARGET = 0.5  # a hedge that goes out later is hardly ever back in time


def hedge_after_ms(window: LatencyWindow, target_latency_ms: float) -> float:
    """Return how long after the first sending of a part a second endpoint is asked."""
    quantile_ms = window.quantile_ms(HEDGE_QUANTILE)
    if quantile_ms is None:
        return UNKNOWN_SHARE_OF_TARGET * target_latency_ms
    return min(HEDGE_FACTOR * quantile_ms, MAX_SHARE_OF_TARGET * target_latency_ms)

"""When a second endpoint is asked, from the recent latencies of a route."""

from radishmount.endpoints import Endpoint
from radishmount.queries import LatencyWindow


__all__ = ["hedge_after_ms", "has_queued_requests"]

HEDGE_QUANTILE = 0.9  # a tenth of the parts is hedged, half of the usual budget of repeats
HEDGE_FACTOR = 1.1  # above the quantile, so that a small shift of all latencies hedges nothing
REPORT_BELIEVED_MS = 500.0  # as long as the choice of endpoints believes half of a report
MAX_SHARE_OF_TARGET = 0.35  # of the target latency; a hedge needs as long again to be in time


def hedge_after_ms(window: LatencyWindow, target_latency_ms: float) -> float:
    """Return how long after the first sending of a part a second endpoint is asked."""
    latest_ms = MAX_SHARE_OF_TARGET * target_latency_ms
    quantile_ms = window.quantile_ms(HEDGE_QUANTILE)
    return latest_ms if quantile_ms is None else min(HEDGE_FACTOR * quantile_ms, latest_ms)


def has_queued_requests(endpoint: Endpoint, now_ms: float) -> bool:
    """Tell whether an endpoint has just said that requests wait there for a slot.

    A hedge would wait behind them and make the queue longer for all others: while callers press,
    what is extra must give way to what is first.
    """
    if endpoint.reported_at_ms is None or now_ms - endpoint.reported_at_ms > REPORT_BELIEVED_MS:
        return False
    return endpoint.report.queued > 0

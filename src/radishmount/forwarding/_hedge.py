"""Decides when to hedge a request, from the recent latencies of its route."""

from radishmount.endpoints import Endpoint
from radishmount.queries import LatencyWindow


__all__ = ["has_queued_requests", "hedge_delay_ms", "max_hedge_delay_ms"]

HEDGE_QUANTILE = 0.9  # hedges a tenth of the attempts, half of the usual retry budget
HEDGE_FACTOR = 1.1  # above the quantile, so that a small shift of all latencies adds no hedges
REPORT_MAX_AGE_MS = 500.0  # the half-life of a load report in the choice of endpoints
MAX_DELAY_TARGET_RATIO = 0.35  # of the target latency; a hedge needs as long again to be in time


def hedge_delay_ms(window: LatencyWindow, target_latency_ms: float) -> float:
    """Return how long after an attempt a hedge is sent to a second endpoint."""
    max_delay_ms = max_hedge_delay_ms(target_latency_ms)
    quantile_ms = window.quantile_ms(HEDGE_QUANTILE)
    return max_delay_ms if quantile_ms is None else min(HEDGE_FACTOR * quantile_ms, max_delay_ms)


def max_hedge_delay_ms(target_latency_ms: float) -> float:
    """Return how long after an attempt a hedge still leads to a reply in time."""
    return MAX_DELAY_TARGET_RATIO * target_latency_ms


def has_queued_requests(endpoint: Endpoint, now_ms: float) -> bool:
    """Return whether an endpoint has recently reported requests that wait for a slot.

    A hedge would wait behind them and lengthen the queue for all others. Under overload, hedges
    must not displace first attempts.
    """
    if endpoint.reported_at_ms is None or now_ms - endpoint.reported_at_ms > REPORT_MAX_AGE_MS:
        return False
    return endpoint.report.queued > 0

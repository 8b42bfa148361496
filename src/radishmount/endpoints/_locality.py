"""How much of the load of a service stays at its replicas in the own data centre."""

from math import inf

from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._steady_latency import USUAL_PAUSE_MS


__all__ = ["home_share", "needs_probe", "record_share", "steady_ratio", "success_share"]

# The ratio of the expected times, in the own data centre over elsewhere, from which on requests
# leave, and at which nearly all of them do.
SPILL_FROM_RATIO = 1.5
SPILL_ALL_RATIO = 2.5
# The same for the ratio of the success rates. A single failure leaves a rate at 0.75; each one
# costs a retry elsewhere and a part of the retry budget.
SPILL_BELOW_SUCCESS_RATE = 0.8
SPILL_ALL_SUCCESS_RATE = 0.5
REPORT_MAX_AGE_MS = 500.0  # of a queue; a replica that gets no requests reports nothing new
PROBE_INTERVAL_MS = 5_000.0  # a probe of a replica that is still slow costs a hedge
LEFT_SHARE = 0.5
MIN_LEFT_MS = 2_000.0  # bounds the lines about an endpoint that is at the limit of its load


def home_share(home_ms: float, away_ms: float) -> float:
    """Return the share of requests that stay, by the expected times in and out of the data centre.

    All stay while the replicas of the own data centre are nearly as fast as the others: crossing
    data centres costs money, and time too. The share falls without a step, and each instance draws
    for itself, so that instances with the same knowledge do not all move at once. What leaves makes
    the others slower, which brings the share back.
    """
    spilled = (home_ms / away_ms - SPILL_FROM_RATIO) / (SPILL_ALL_RATIO - SPILL_FROM_RATIO)
    return 1.0 - min(1.0, max(0.0, spilled))


def success_share(home_rate: float, away_rate: float) -> float:
    """Return the share of requests that stay, by the success rates at home and elsewhere."""
    kept = (home_rate / away_rate - SPILL_ALL_SUCCESS_RATE) / (
        SPILL_BELOW_SUCCESS_RATE - SPILL_ALL_SUCCESS_RATE
    )
    return min(1.0, max(0.0, kept))


def steady_ratio(endpoint: Endpoint, fastest_ms: float, now_ms: float) -> float:
    """Return by how much the estimated latency falls if ordinary pauses are left out, at most 1."""
    if endpoint.steady_latency.value_ms is None:
        return 1.0  # known from peers only
    if endpoint.report.queued and endpoint.health_age_ms(now_ms) <= REPORT_MAX_AGE_MS:
        return 1.0  # late because of its load
    estimated_ms = endpoint.estimated_latency_ms(fastest_ms, now_ms)
    steady_ms = endpoint.steady_latency.decayed_towards(fastest_ms, now_ms)
    open_for_ms = endpoint.oldest_exchange_age_ms(now_ms)
    if open_for_ms >= USUAL_PAUSE_MS:
        steady_ms = max(steady_ms, open_for_ms)
    return min(1.0, steady_ms / estimated_ms) if estimated_ms > 0.0 else 1.0


def record_share(endpoint: Endpoint, share: float, away_ms: float, now_ms: float) -> None:
    """Note on the endpoint when most of its requests leave, and when all of them are back.

    `away_ms` is the expected time elsewhere. An endpoint changes at most once in `MIN_LEFT_MS`.
    """
    if endpoint.left_since_ms is None:
        if share < LEFT_SHARE:
            endpoint.left_since_ms = now_ms
            latency_ms = endpoint.steady_latency.value_ms or 0.0
            endpoint.on_change(
                endpoint,
                "left for other data centres",
                f"latency {latency_ms:.0f} ms, {endpoint.in_flight} in flight, "
                f"{endpoint.load_of_others} of others, success rate "
                f"{endpoint.success_rate.rate_at(now_ms):.2f}; {away_ms:.0f} ms elsewhere",
            )
    elif share >= 1.0 and now_ms - endpoint.left_since_ms >= MIN_LEFT_MS:
        endpoint.left_since_ms = None
        endpoint.on_change(endpoint, "used again", "nearly as fast as other data centres")


def needs_probe(endpoint: Endpoint, now_ms: float) -> bool:
    """Return whether one request should show how an endpoint is that gets hardly any.

    What only peers have seen of an endpoint is not probed here, as it is forgotten within seconds.
    """
    if endpoint.in_flight:
        return False
    return PROBE_INTERVAL_MS <= now_ms - endpoint.steady_latency.observed_at_ms < inf

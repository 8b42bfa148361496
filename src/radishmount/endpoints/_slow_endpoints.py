"""Finds endpoints that are far slower than the other replicas of their service."""

from collections.abc import Iterable

from radishmount.endpoints._endpoint import Endpoint
from radishmount.fleet import SlowEndpointHint


__all__ = ["find_slow_endpoints"]

SLOW_RATIO = 3.0  # above the usual differences of healthy replicas, below those of a failing one
SLOW_MARGIN_MS = 25.0  # above the variation of exchanges that take a few milliseconds
MIN_OPEN_MS = 150.0  # shorter waits may be an ordinary pause of the endpoint


def find_slow_endpoints(replicas: Iterable[Endpoint], now_ms: float) -> list[SlowEndpointHint]:
    """Return the slow ones among the `replicas` of one service, as this instance measured them.

    Each replica is compared with the fastest one, so that an instance whose own network is slow
    reports no endpoint. An exchange that is still open counts with its age so far.
    """
    endpoints = list(replicas)
    latencies_ms = [e.latency.value_ms for e in endpoints if e.latency.value_ms is not None]
    if len(endpoints) < 2 or not latencies_ms:
        return []
    limit_ms = SLOW_RATIO * min(latencies_ms) + SLOW_MARGIN_MS
    hints = []
    for endpoint in endpoints:
        latency_ms = endpoint.latency.decayed_towards(min(latencies_ms), now_ms)
        seen_at_ms = endpoint.latency.updated_at_ms
        open_for_ms = endpoint.oldest_exchange_age_ms(now_ms)
        if open_for_ms >= MIN_OPEN_MS:
            latency_ms = max(latency_ms, open_for_ms)
            seen_at_ms = now_ms
        if latency_ms > limit_ms:
            hints.append(SlowEndpointHint(endpoint.name, latency_ms, seen_at_ms))
    return hints

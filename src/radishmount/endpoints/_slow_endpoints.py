"""Which endpoints are far slower than the other replicas of their service."""

from collections.abc import Iterable

from radishmount.endpoints._endpoint import Endpoint
from radishmount.fleet import SlowEndpointHint


__all__ = ["find_slow_endpoints"]

SLOW_RATIO = 3.0  # above the spread of replicas that differ in speed, below a failing one's
SLOW_MARGIN_MS = 25.0  # above the scatter of exchanges that take a few milliseconds
OPEN_AT_LEAST_MS = 150.0  # an exchange that is open for less may meet a usual pause


def find_slow_endpoints(replicas: Iterable[Endpoint], now_ms: float) -> list[SlowEndpointHint]:
    """Return the slow ones of the `replicas` of one service, by this instance's own evidence.

    A replica is slow beside the quickest one only, so that an instance whose own links are slow
    blames nobody.
    """
    listed = list(replicas)
    known_ms = [e.latency.value_ms for e in listed if e.latency.value_ms is not None]
    if len(listed) < 2 or not known_ms:
        return []
    limit_ms = SLOW_RATIO * min(known_ms) + SLOW_MARGIN_MS
    hints = []
    for endpoint in listed:
        pace_ms = endpoint.latency.decayed_towards(min(known_ms), now_ms)
        seen_at_ms = endpoint.latency.updated_at_ms
        open_for_ms = endpoint.oldest_exchange_age_ms(now_ms)
        if open_for_ms >= OPEN_AT_LEAST_MS:
            pace_ms = max(pace_ms, open_for_ms)
            seen_at_ms = now_ms
        if pace_ms > limit_ms:
            hints.append(SlowEndpointHint(endpoint.name, pace_ms, seen_at_ms))
    return hints

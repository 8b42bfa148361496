"""The slots of the endpoints behind a target, and the requests queued for them."""

from collections.abc import Iterable

from radishmount.endpoints import Endpoint


__all__ = ["queued_per_slot", "share_of_slots"]


def share_of_slots(endpoints: Iterable[Endpoint], instances: int, now_ms: float) -> float:
    """Return the share of one of `instances` in the slots of the eligible `endpoints`.

    If no endpoint is known to be eligible, all are counted, because their capacity is not known to
    be lower.
    """
    all_endpoints = list(endpoints)
    eligible = [
        endpoint for endpoint in all_endpoints if endpoint.is_eligible(now_ms)
    ] or all_endpoints
    return sum(endpoint.slots for endpoint in eligible) / max(1, instances)


def queued_per_slot(endpoints: Iterable[Endpoint], instances: int, now_ms: float) -> float:
    """Return the queued requests per slot at the eligible endpoint that has the fewest.

    The count is what the endpoint reports, plus the requests that wait here for a connection to
    it, times `instances`, assuming that as many wait at every instance. The choice of endpoint
    avoids endpoints with long queues, so only the shortest queue shows whether the service is at
    its limit.
    """
    ratios = [
        (endpoint.report.queued + instances * (endpoint.in_flight - endpoint.active_exchanges))
        / max(1, endpoint.slots)
        for endpoint in endpoints
        if endpoint.is_eligible(now_ms)
    ]
    return min(ratios, default=0.0)

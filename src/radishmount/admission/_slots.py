"""What the endpoints behind a target can take, and how crowded they are."""

from collections.abc import Iterable

from radishmount.endpoints import Endpoint


__all__ = ["queued_per_slot", "share_of_slots"]


def share_of_slots(endpoints: Iterable[Endpoint], instances: int, now_ms: float) -> float:
    """Return the part of the slots of the fit `endpoints` that falls to one of `instances`.

    While no endpoint is known to be fit, all count: what they can do is not known to be less.
    """
    listed = list(endpoints)
    fit = [endpoint for endpoint in listed if endpoint.is_eligible(now_ms)] or listed
    return sum(endpoint.slots for endpoint in fit) / max(1, instances)


def queued_per_slot(endpoints: Iterable[Endpoint], instances: int, now_ms: float) -> float:
    """Return how many requests wait for each slot at the least crowded of the fit `endpoints`.

    Those that the endpoint reports count, and those that wait here for a connection to it, as
    often as there are instances: as many wait at each of them. The choice of endpoint goes round
    a crowded one, so that only the best of them tells whether the service is at its limit.
    """
    ratios = [
        (endpoint.report.queued + instances * (endpoint.in_flight - endpoint.active_exchanges))
        / max(1, endpoint.slots)
        for endpoint in endpoints
        if endpoint.is_eligible(now_ms)
    ]
    return min(ratios, default=0.0)

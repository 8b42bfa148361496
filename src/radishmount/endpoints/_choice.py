"""The choice of the endpoint that an attempt goes to."""

from collections.abc import Callable, Collection, Iterable, Sequence

from radishmount.endpoints._endpoint import Endpoint


__all__ = ["Choose", "expected_ms", "make_choice"]

OTHER_DATA_CENTRE_MS = 8.0
UNKNOWN_LATENCY_MS = 5.0

Choose = Callable[[Iterable[Endpoint], Collection[str], float], Endpoint | None]


def make_choice(own_data_centre: str) -> Choose:
    """Return a function that picks the replica with the lowest expected completion.

    choose = make_choice("milano")
    endpoint = choose(replicas, excluded, clock.now_ms())
    """

    def choose(
        replicas: Iterable[Endpoint], excluded: Collection[str], now_ms: float
    ) -> Endpoint | None:
        fit = _fit(replicas, excluded, now_ms)
        if not fit:
            return None
        return min(fit, key=lambda endpoint: expected_ms(endpoint, own_data_centre))

    return choose


def expected_ms(endpoint: Endpoint, own_data_centre: str) -> float:
    """Return the expected time to completion of one more request, in milliseconds."""
    service_ms = endpoint.latency_ms or UNKNOWN_LATENCY_MS
    waiting = endpoint.in_flight / max(1, endpoint.slots)
    distance_ms = 0.0 if endpoint.spec.data_centre == own_data_centre else OTHER_DATA_CENTRE_MS
    return service_ms * (1.0 + waiting) + distance_ms


def _fit(
    replicas: Iterable[Endpoint], excluded: Collection[str], now_ms: float
) -> Sequence[Endpoint]:
    return [e for e in replicas if e.name not in excluded and e.may_take_work(now_ms)]

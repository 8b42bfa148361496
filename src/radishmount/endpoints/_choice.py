"""The choice of the endpoint that an attempt goes to."""

from collections.abc import Callable, Collection, Iterable
from random import Random

from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._latency import decay_weight
from radishmount.policy import DEFAULT_POLICY, QueryPolicy


__all__ = [
    "ChooseEndpoint",
    "expected_completion_ms",
    "make_least_time_choice",
    "make_weighted_choice",
    "slow_start_weight",
]

OTHER_DATA_CENTRE_MS = 8.0
UNKNOWN_LATENCY_MS = 5.0
SAMPLED_REPLICAS = 3
REPORT_HALF_LIFE_MS = 500.0
REPORTED_ROUNDS_BELIEVED = 4
SLOW_START_MS = 5_000.0
SLOW_START_MIN_WEIGHT = 0.1
SHED_HALF_LIFE_MS = 250.0
SHED_WEIGHT = 8.0
FAILURE_WEIGHT = 2.0
MIN_EXPECTED_MS = 0.1  # below the resolution of the clock
WEIGHT_EXPONENT = 3.0  # a replica that is four times slower gets one request in sixty-five

ChooseEndpoint = Callable[[Iterable[Endpoint], Collection[str], float], Endpoint | None]


def make_least_time_choice(
    own_data_centre: str, random: Random, policy: QueryPolicy = DEFAULT_POLICY
) -> ChooseEndpoint:
    """Return a function that picks the replica with the lowest expected completion.

    An ejected endpoint is picked only where no other is left.

        choose = make_least_time_choice("milano", Random(7))
        endpoint = choose(replicas, excluded, clock.now_ms())
    """

    def choose(
        replicas: Iterable[Endpoint], excluded: Collection[str], now_ms: float
    ) -> Endpoint | None:
        fit = _fit(replicas, excluded, now_ms)
        if len(fit) <= 1:
            return fit[0] if fit else None
        sampled = _sample(fit, random)
        if policy.ramp:
            sampled = _ramped(sampled, now_ms, random)
        least_ms = _least_ms(sampled)
        best = sampled[0]
        best_ms = float("inf")
        for endpoint in sampled:
            cost_ms = expected_completion_ms(endpoint, own_data_centre, least_ms, now_ms, policy)
            if cost_ms < best_ms:
                best, best_ms = endpoint, cost_ms
        return best

    return choose


def make_weighted_choice(
    own_data_centre: str, random: Random, policy: QueryPolicy = DEFAULT_POLICY
) -> ChooseEndpoint:
    """Return a function that picks quick replicas far more often than slow ones.

    Many instances that know the same do not all run to the same replica, and a slow one is tried
    now and then, so that its recovery is seen.
    """

    def choose(
        replicas: Iterable[Endpoint], excluded: Collection[str], now_ms: float
    ) -> Endpoint | None:
        fit = _fit(replicas, excluded, now_ms)
        if len(fit) <= 1:
            return fit[0] if fit else None
        least_ms = _least_ms(fit)
        weights = []
        for endpoint in fit:
            cost_ms = expected_completion_ms(endpoint, own_data_centre, least_ms, now_ms, policy)
            cost_ms = max(cost_ms, MIN_EXPECTED_MS) / endpoint.success_rate.rate_at(now_ms)
            weight = slow_start_weight(endpoint, now_ms) if policy.ramp else 1.0
            weights.append(weight * cost_ms**-WEIGHT_EXPONENT)
        return random.choices(fit, weights)[0]

    return choose


def expected_completion_ms(
    endpoint: Endpoint,
    own_data_centre: str,
    least_ms: float,
    now_ms: float,
    policy: QueryPolicy = DEFAULT_POLICY,
) -> float:
    """Return the expected time to completion of one more request, in milliseconds.

    `least_ms` is the latency of the quickest replica, which old evidence falls back to.
    """
    load = float(endpoint.in_flight)
    if policy.reports and endpoint.reported_at_ms is not None:
        believed = min(endpoint.load_of_others, REPORTED_ROUNDS_BELIEVED * endpoint.slots)
        load += believed * decay_weight(now_ms - endpoint.reported_at_ms, REPORT_HALF_LIFE_MS)
    service_ms = endpoint.estimated_latency_ms(least_ms, now_ms)
    expected = service_ms * (1.0 + load / max(1, endpoint.usable_slots))
    expected *= 1.0 + SHED_WEIGHT * decay_weight(now_ms - endpoint.shed_at_ms, SHED_HALF_LIFE_MS)
    expected *= 1.0 + FAILURE_WEIGHT * endpoint.ejection.consecutive_failures
    if policy.own_data_centre_first and endpoint.spec.data_centre != own_data_centre:
        expected += OTHER_DATA_CENTRE_MS
    return expected


def slow_start_weight(endpoint: Endpoint, now_ms: float) -> float:
    """Return the share of its work that an endpoint takes, growing since it was first live."""
    passed = (now_ms - endpoint.available_since_ms) / SLOW_START_MS
    return min(1.0, SLOW_START_MIN_WEIGHT + (1.0 - SLOW_START_MIN_WEIGHT) * passed)


def _fit(replicas: Iterable[Endpoint], excluded: Collection[str], now_ms: float) -> list[Endpoint]:
    """Return the live replicas that are not ejected, or all live ones where no other is left."""
    live = [e for e in replicas if e.name not in excluded and e.is_available(now_ms)]
    return [e for e in live if e.ejection.ejected_since_ms is None] or live


def _sample(fit: list[Endpoint], random: Random) -> list[Endpoint]:
    """Return a few of the replicas, in an order that differs from call to call."""
    if len(fit) > SAMPLED_REPLICAS:
        return random.sample(fit, SAMPLED_REPLICAS)
    first = int(random.random() * len(fit))
    return fit[first:] + fit[:first]


def _ramped(sampled: list[Endpoint], now_ms: float, random: Random) -> list[Endpoint]:
    """Leave out endpoints that became live later than the others, less often with time."""
    weights = [slow_start_weight(endpoint, now_ms) for endpoint in sampled]
    most = max(weights)
    if min(weights) == most:
        return sampled
    return [e for e, w in zip(sampled, weights, strict=True) if random.random() * most < w]


def _least_ms(sampled: list[Endpoint]) -> float:
    known = [e.latency.value_ms for e in sampled if e.latency.value_ms is not None]
    return min(known) if known else UNKNOWN_LATENCY_MS

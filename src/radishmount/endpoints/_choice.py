"""Load balancing: the choice of the endpoint that an attempt goes to."""

from collections.abc import Callable, Collection, Iterable
from math import inf
from random import Random

from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._latency import decay_weight
from radishmount.endpoints._locality import (
    home_share,
    needs_probe,
    record_share,
    steady_ratio,
    success_share,
)
from radishmount.policy import DEFAULT_POLICY, QueryPolicy


__all__ = [
    "ChooseEndpoint",
    "expected_completion_ms",
    "make_least_time_choice",
    "make_weighted_choice",
    "slow_start_weight",
]

OTHER_DATA_CENTRE_MS = 8.0  # added to the expected time of an endpoint elsewhere
UNKNOWN_LATENCY_MS = 5.0
SAMPLED_REPLICAS = 3
REPORT_HALF_LIFE_MS = 500.0
MAX_REPORTED_ROUNDS = 4  # bounds the load of others, in multiples of the slots
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
    """Return a function that chooses the replica with the least expected time to completion.

    An ejected endpoint is chosen only where no other is left.

        choose = make_least_time_choice("milano", Random(7))
        endpoint = choose(replicas, excluded, clock.now_ms())
    """

    def choose(
        replicas: Iterable[Endpoint], excluded: Collection[str], now_ms: float
    ) -> Endpoint | None:
        candidates = _candidates(replicas, excluded, now_ms)
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        sampled = _sample(candidates, random)
        if policy.ramp:
            sampled = _apply_slow_start(sampled, now_ms, random)
        fastest_ms = _fastest_ms(sampled)
        best = sampled[0]
        best_ms = float("inf")
        for endpoint in sampled:
            cost_ms = expected_completion_ms(endpoint, own_data_centre, fastest_ms, now_ms, policy)
            if cost_ms < best_ms:
                best, best_ms = endpoint, cost_ms
        return best

    return choose


def make_weighted_choice(
    own_data_centre: str, random: Random, policy: QueryPolicy = DEFAULT_POLICY
) -> ChooseEndpoint:
    """Return a function that chooses at random, fast replicas far more often than slow ones.

    So instances with the same knowledge do not all choose the same replica. Replicas of the own
    data centre are used for as long as they answer nearly as fast as those elsewhere, and the share
    that leaves grows with their load, latency and failures.
    """

    def cost_ms(endpoint: Endpoint, fastest_ms: float, now_ms: float) -> float:
        expected_ms = expected_completion_ms(endpoint, own_data_centre, fastest_ms, now_ms, policy)
        return max(expected_ms, MIN_EXPECTED_MS) / endpoint.success_rate.rate_at(now_ms)

    def draw(candidates: list[Endpoint], fastest_ms: float, now_ms: float) -> Endpoint:
        if len(candidates) == 1:
            return candidates[0]
        weights = []
        for endpoint in candidates:
            weight = slow_start_weight(endpoint, now_ms) if policy.ramp else 1.0
            cost = cost_ms(endpoint, fastest_ms, now_ms) * _spread_factor(endpoint, now_ms, policy)
            weights.append(weight * cost**-WEIGHT_EXPONENT)
        return random.choices(candidates, weights)[0]

    def stays_home(
        home: list[Endpoint], away: list[Endpoint], fastest_ms: float, now_ms: float
    ) -> bool:
        away_ms = min([cost_ms(endpoint, fastest_ms, now_ms) for endpoint in away])
        costs_ms = [cost_ms(endpoint, fastest_ms, now_ms) for endpoint in home]
        share = home_share(min(costs_ms), away_ms)
        if share < 1.0:
            for n, endpoint in enumerate(home):
                costs_ms[n] *= steady_ratio(endpoint, fastest_ms, now_ms)
            share = home_share(min(costs_ms), away_ms)
        share *= success_share(_best_success_rate(home, now_ms), _best_success_rate(away, now_ms))
        if policy.ramp:
            share *= _relative_weight(home, away, now_ms)
        record_share(home[costs_ms.index(min(costs_ms))], share, away_ms, now_ms)
        if share >= 1.0 or random.random() < share:
            return True
        return any(needs_probe(endpoint, now_ms) for endpoint in home)

    def choose(
        replicas: Iterable[Endpoint], excluded: Collection[str], now_ms: float
    ) -> Endpoint | None:
        candidates = _candidates(replicas, excluded, now_ms)
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        home = [e for e in candidates if e.spec.data_centre == own_data_centre]
        if not policy.own_data_centre_first or not 0 < len(home) < len(candidates):
            return draw(candidates, _fastest_ms(candidates), now_ms)
        # Replicas elsewhere get few requests, so what is usual at home stands for the unknown ones.
        usual_ms = min([endpoint.steady_latency.usual_ms for endpoint in home])
        fastest_ms = usual_ms if usual_ms < inf else _fastest_ms(candidates)
        away = [e for e in candidates if e.spec.data_centre != own_data_centre]
        stays = stays_home(home, away, fastest_ms, now_ms)
        return draw(home if stays else away, fastest_ms, now_ms)

    return choose


def expected_completion_ms(
    endpoint: Endpoint,
    own_data_centre: str,
    fastest_ms: float,
    now_ms: float,
    policy: QueryPolicy = DEFAULT_POLICY,
) -> float:
    """Return the expected time to completion of one more request, in milliseconds.

    `fastest_ms` is the latency of the fastest replica, towards which old estimates decay.
    """
    load = endpoint.in_flight + _load_of_others(endpoint, now_ms, policy)
    service_ms = endpoint.estimated_latency_ms(fastest_ms, now_ms)
    expected = service_ms * (1.0 + load / max(1, endpoint.usable_slots))
    expected *= 1.0 + SHED_WEIGHT * decay_weight(now_ms - endpoint.shed_at_ms, SHED_HALF_LIFE_MS)
    expected *= 1.0 + FAILURE_WEIGHT * endpoint.ejection.consecutive_failures
    if policy.own_data_centre_first and endpoint.spec.data_centre != own_data_centre:
        expected += OTHER_DATA_CENTRE_MS
    return expected


def _load_of_others(endpoint: Endpoint, now_ms: float, policy: QueryPolicy) -> float:
    """Return the requests of other instances at an endpoint, less with the age of the report."""
    if not policy.reports or endpoint.reported_at_ms is None:
        return 0.0
    load_of_others = min(endpoint.load_of_others, MAX_REPORTED_ROUNDS * endpoint.slots)
    return load_of_others * decay_weight(now_ms - endpoint.reported_at_ms, REPORT_HALF_LIFE_MS)


def _spread_factor(endpoint: Endpoint, now_ms: float, policy: QueryPolicy) -> float:
    """Return by how much more an endpoint counts as loaded when requests are spread over equals.

    Own requests in flight are certain, while the load of others is known from the past only. So
    among the replicas of one place the own ones count whole, and those of others as a share of what
    the endpoint takes well, which may be less than its slots.
    """
    own, others = endpoint.in_flight, _load_of_others(endpoint, now_ms, policy)
    if not own and not others:
        return 1.0
    room = max(1.0, endpoint.comfortable_requests(now_ms))
    return (1.0 + own + others / room) / (1.0 + (own + others) / max(1, endpoint.usable_slots))


def slow_start_weight(endpoint: Endpoint, now_ms: float) -> float:
    """Return the share of its usual load that an endpoint gets, rising to 1 in `SLOW_START_MS`.

    An endpoint that stays cold for longer is available from a time in the future.
    """
    passed = max(0.0, (now_ms - endpoint.available_since_ms) / SLOW_START_MS)
    return min(1.0, SLOW_START_MIN_WEIGHT + (1.0 - SLOW_START_MIN_WEIGHT) * passed)


def _candidates(
    replicas: Iterable[Endpoint], excluded: Collection[str], now_ms: float
) -> list[Endpoint]:
    """Return the available replicas that are not ejected, or all available ones if none is left."""
    available = [e for e in replicas if e.name not in excluded and e.is_available(now_ms)]
    return [e for e in available if e.ejection.ejected_since_ms is None] or available


def _sample(candidates: list[Endpoint], random: Random) -> list[Endpoint]:
    """Return a random sample of the replicas, or all of them from a random starting point."""
    if len(candidates) > SAMPLED_REPLICAS:
        return random.sample(candidates, SAMPLED_REPLICAS)
    first = int(random.random() * len(candidates))
    return candidates[first:] + candidates[:first]


def _apply_slow_start(sampled: list[Endpoint], now_ms: float, random: Random) -> list[Endpoint]:
    """Drop at random endpoints that became available later than others, less often with time."""
    weights = [slow_start_weight(endpoint, now_ms) for endpoint in sampled]
    max_weight = max(weights)
    if min(weights) == max_weight:
        return sampled
    return [e for e, w in zip(sampled, weights, strict=True) if random.random() * max_weight < w]


def _relative_weight(home: list[Endpoint], away: list[Endpoint], now_ms: float) -> float:
    """Return the slow start weight of the best of `home`, relative to the best of all."""
    home_weight = max([slow_start_weight(endpoint, now_ms) for endpoint in home])
    if home_weight >= 1.0:
        return 1.0
    away_weight = max([slow_start_weight(endpoint, now_ms) for endpoint in away])
    return home_weight / max(home_weight, away_weight)


def _best_success_rate(endpoints: list[Endpoint], now_ms: float) -> float:
    return max([endpoint.success_rate.rate_at(now_ms) for endpoint in endpoints])


def _fastest_ms(sampled: list[Endpoint]) -> float:
    known = [e.latency.value_ms for e in sampled if e.latency.value_ms is not None]
    return min(known) if known else UNKNOWN_LATENCY_MS

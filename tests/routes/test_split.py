"""Tests of the choice by weight."""

from collections import Counter
from random import Random

from radishmount.routes import Route, WeightedService, choose_service


class TestChooseService:
    """Services in proportion to their weights."""

    def test_shares_follow_the_weights(self) -> None:
        services = (WeightedService("a", 3.0), WeightedService("b", 1.0), WeightedService("c", 0.0))
        route = Route("r", "h", "/", services=services)
        random = Random(1)

        drawn = Counter(choose_service(route, random) for _ in range(4_000))

        assert abs(drawn["a"] / 4_000 - 0.75) < 0.03
        assert drawn["c"] == 0

"""The choice among the services of a route."""

from collections import Counter
from random import Random

from radishmount.routes import Route, WeightedService, choose_service


class TestChooseService:
    """Services are chosen in proportion to their weights."""

    def test_shares_follow_the_weights(self) -> None:
        services = (WeightedService("a", 3.0), WeightedService("b", 1.0), WeightedService("c", 0.0))
        route = Route("r", "h", "/", services=services)
        random = Random(1)

        choices_by_service = Counter(choose_service(route, random) for _ in range(4_000))

        assert abs(choices_by_service["a"] / 4_000 - 0.75) < 0.03
        assert choices_by_service["c"] == 0

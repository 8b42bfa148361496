"""Tests of the budget of repeats that all instances share."""

from radishmount.fleet import FleetShares
from radishmount.forwarding import ForwardRetryBudget, RetryBudgetSettings


BOUNDS = RetryBudgetSettings(ratio=0.2, slack=50.0, window_ms=10_000.0)


def repeats_granted(budget: ForwardRetryBudget, requests: int, now_ms: float) -> int:
    """Return how many repeats a service gets after `requests` for it."""
    for _ in range(requests):
        budget.deposit("s", now_ms)
    granted = 0
    while budget.try_withdraw("s", now_ms):
        granted += 1
    return granted


class TestForwardRetryBudget:
    """Each instance keeps to its part without talking to the others."""

    def test_all_instances_together_stay_within_the_bounds(self) -> None:
        instances = 9
        granted = 0
        for _ in range(instances):
            budget = ForwardRetryBudget(BOUNDS)
            budget.set_shares(FleetShares(instances, instances))
            granted += repeats_granted(budget, 100, 0.0)

        assert granted <= BOUNDS.ratio * 100 * instances + BOUNDS.slack

    def test_carriers_and_all_others_together_stay_within_the_bounds(self) -> None:
        granted = 0
        for number in range(69):
            budget = ForwardRetryBudget(BOUNDS)
            budget.set_shares(
                FleetShares(instance_count=69, preferred_count=8, is_preferred=number < 8)
            )
            granted += repeats_granted(budget, 10, 0.0)

        assert granted <= BOUNDS.ratio * 10 * 69 + BOUNDS.slack

    def test_a_carrier_has_more_of_the_slack(self) -> None:
        carrier, other = ForwardRetryBudget(BOUNDS), ForwardRetryBudget(BOUNDS)
        carrier.set_shares(FleetShares(instance_count=69, preferred_count=8))
        other.set_shares(FleetShares(instance_count=69, preferred_count=8, is_preferred=False))

        assert carrier.balance("s", 0.0) > 8 * other.balance("s", 0.0)

    def test_an_instance_that_knows_no_other_takes_little_of_the_slack(self) -> None:
        assert repeats_granted(ForwardRetryBudget(BOUNDS), 0, 0.0) <= BOUNDS.slack / 9

    def test_a_longer_window_holds_what_was_spent_for_longer(self) -> None:
        budget = ForwardRetryBudget(RetryBudgetSettings(ratio=0.2, slack=50.0, window_ms=30_000.0))
        budget.set_shares(FleetShares())
        repeats_granted(budget, 10, 0.0)

        assert not budget.try_withdraw("s", 29_000.0)

    def test_new_bounds_hold_for_services_that_were_in_use_before(self) -> None:
        budget = ForwardRetryBudget(BOUNDS)
        budget.set_shares(FleetShares())
        before = budget.balance("s", 0.0)

        budget.update_settings(RetryBudgetSettings(ratio=0.2, slack=10.0, window_ms=20_000.0))

        assert before == 40.0
        assert repeats_granted(budget, 0, 0.0) == 8
        assert not budget.try_withdraw("s", 19_000.0)

    def test_what_was_spent_comes_back_after_the_window(self) -> None:
        budget = ForwardRetryBudget(BOUNDS, FleetShares())
        first = repeats_granted(budget, 10, 0.0)

        assert not budget.try_withdraw("s", 9_000.0)
        assert repeats_granted(budget, 10, 20_000.0) == first

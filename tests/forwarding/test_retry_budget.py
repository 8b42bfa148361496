"""Tests of the retry budget that all instances share."""

from radishmount.fleet import FleetShares
from radishmount.forwarding import ForwardRetryBudget, RetryBudgetSettings


SETTINGS = RetryBudgetSettings(ratio=0.2, slack=50.0, window_ms=10_000.0)


def repeats_granted(budget: ForwardRetryBudget, requests: int, now_ms: float) -> int:
    """Return how many repeats the budget grants a service after `requests` requests to it."""
    for _ in range(requests):
        budget.deposit("s", now_ms)
    granted = 0
    while budget.try_withdraw("s", now_ms):
        granted += 1
    return granted


class TestForwardRetryBudget:
    """Each instance keeps to its share without coordination."""

    def test_all_instances_together_stay_within_the_settings(self) -> None:
        instances = 9
        granted = 0
        for _ in range(instances):
            budget = ForwardRetryBudget(SETTINGS)
            budget.set_shares(FleetShares(instances, instances))
            granted += repeats_granted(budget, 100, 0.0)

        assert granted <= SETTINGS.ratio * 100 * instances + SETTINGS.slack

    def test_preferred_and_other_instances_together_stay_within_the_settings(self) -> None:
        granted = 0
        for number in range(69):
            budget = ForwardRetryBudget(SETTINGS)
            budget.set_shares(
                FleetShares(instance_count=69, preferred_count=8, is_preferred=number < 8)
            )
            granted += repeats_granted(budget, 10, 0.0)

        assert granted <= SETTINGS.ratio * 10 * 69 + SETTINGS.slack

    def test_a_preferred_instance_has_more_of_the_slack(self) -> None:
        preferred, other = ForwardRetryBudget(SETTINGS), ForwardRetryBudget(SETTINGS)
        preferred.set_shares(FleetShares(instance_count=69, preferred_count=8))
        other.set_shares(FleetShares(instance_count=69, preferred_count=8, is_preferred=False))

        assert preferred.balance("s", 0.0) > 8 * other.balance("s", 0.0)

    def test_an_instance_that_does_not_know_the_fleet_takes_little_of_the_slack(self) -> None:
        assert repeats_granted(ForwardRetryBudget(SETTINGS), 0, 0.0) <= SETTINGS.slack / 9

    def test_repeats_count_until_the_end_of_a_longer_window(self) -> None:
        budget = ForwardRetryBudget(RetryBudgetSettings(ratio=0.2, slack=50.0, window_ms=30_000.0))
        budget.set_shares(FleetShares())
        repeats_granted(budget, 10, 0.0)

        assert not budget.try_withdraw("s", 29_000.0)

    def test_new_settings_apply_to_services_already_in_use(self) -> None:
        budget = ForwardRetryBudget(SETTINGS)
        budget.set_shares(FleetShares())
        before = budget.balance("s", 0.0)

        budget.update_settings(RetryBudgetSettings(ratio=0.2, slack=10.0, window_ms=20_000.0))

        assert before == 40.0
        assert repeats_granted(budget, 0, 0.0) == 8
        assert not budget.try_withdraw("s", 19_000.0)

    def test_the_budget_is_restored_after_the_window(self) -> None:
        budget = ForwardRetryBudget(SETTINGS, FleetShares())
        first = repeats_granted(budget, 10, 0.0)

        assert not budget.try_withdraw("s", 9_000.0)
        assert repeats_granted(budget, 10, 20_000.0) == first

"""Tests of the budgets and delays of retries and hedges."""

import pytest

from radishmount.endpoints import Endpoint, LoadReport
from radishmount.publication import EndpointSpec, Preference
from radishmount.queries import (
    LatencyWindow,
    ServiceState,
    SlidingWindowBudget,
    exchange_timeout_ms,
    hedge_delay_ms,
)


class TestSlidingWindowBudget:
    """Withdrawals never exceed the deposits of the last seconds."""

    def test_withdrawals_are_limited_by_the_deposits(self) -> None:
        budget = SlidingWindowBudget()
        for _ in range(100):
            budget.deposit(0.05, 0.0)

        assert [budget.try_withdraw(1.0) for _ in range(7)] == [True] * 5 + [False] * 2

    def test_a_deposit_expires_with_the_window(self) -> None:
        budget = SlidingWindowBudget()
        budget.deposit(5.0, 0.0)

        assert not budget.try_withdraw(10_000.0)

    def test_a_withdrawal_expires_with_the_window(self) -> None:
        budget = SlidingWindowBudget()
        budget.deposit(1.0, 0.0)
        budget.try_withdraw(0.0)
        budget.deposit(1.0, 10_000.0)

        assert budget.try_withdraw(10_000.0)

    def test_a_withdrawal_counts_until_the_end_of_a_longer_window(self) -> None:
        budget = SlidingWindowBudget(reserve=1.0, window_ms=30_000.0)
        budget.try_withdraw(0.0)

        assert not budget.try_withdraw(29_000.0)
        assert budget.try_withdraw(31_000.0)

    def test_a_withdrawal_without_a_check_counts(self) -> None:
        budget = SlidingWindowBudget()
        budget.deposit(1.0, 0.0)
        budget.withdraw(0.0)

        assert not budget.try_withdraw(0.0)

    def test_withdrawals_stay_within_five_percent_over_any_ten_seconds(self) -> None:
        budget = SlidingWindowBudget()
        withdrawn_at_ms = []
        for step in range(3_000):
            now_ms = step * 10.0
            budget.deposit(0.05, now_ms)
            if budget.try_withdraw(now_ms):
                withdrawn_at_ms.append(now_ms)
        for end_ms in range(10_000, 30_000, 500):
            in_window = [at for at in withdrawn_at_ms if end_ms - 10_000.0 < at <= end_ms]
            assert len(in_window) <= 50 + 5


def window_of(*latencies_ms: float) -> LatencyWindow:
    window = LatencyWindow()
    for latency_ms in latencies_ms:
        window.add(latency_ms)
    return window


class TestDelays:
    """When a hedge is sent, and when an exchange times out."""

    def test_an_outlier_among_few_latencies_does_not_raise_the_hedge_delay(self) -> None:
        window = window_of(*[10.0] * 9, 200.0)

        assert hedge_delay_ms(window, Preference.COVERAGE) == 20.0

    def test_rules_that_prefer_the_tail_hedge_earlier(self) -> None:
        window = window_of(*[10.0] * 9, 200.0)

        assert hedge_delay_ms(window, Preference.TAIL) == 17.5

    def test_hedges_stay_within_the_budget_for_a_wide_latency_distribution(self) -> None:
        window = window_of(*(float(n % 100 + 1) ** 2 / 50.0 for n in range(256)))
        hedged = sum(x > hedge_delay_ms(window, Preference.COVERAGE) for x in window.latencies_ms)

        assert hedged / 256 <= 0.05

    def test_an_exchange_on_a_silent_connection_times_out_before_a_short_deadline(self) -> None:
        assert exchange_timeout_ms(window_of(*[10.0] * 20)) == 120.0
        assert exchange_timeout_ms(window_of(*[100.0] * 20)) == 600.0


class TestServiceState:
    """Hedging stops for a while when most endpoints are overloaded."""

    @pytest.mark.parametrize(("shedding", "may_hedge"), [(0, True), (1, True), (2, False)])
    def test_no_hedge_is_allowed_while_most_endpoints_shed(
        self, shedding: int, may_hedge: bool
    ) -> None:
        endpoints = [
            Endpoint(EndpointSpec(f"e{n}", "milano", "127.0.0.1:80"), slots=2) for n in range(3)
        ]
        for endpoint in endpoints[:shedding]:
            endpoint.shed_at_ms = 10_000.0
        state = ServiceState("catalogue")

        assert state.may_hedge(endpoints, 10_500.0) is may_hedge
        assert state.may_hedge(endpoints, 12_000.0) is True

    def test_no_hedge_is_allowed_while_queues_are_long(self) -> None:
        endpoints = [
            Endpoint(EndpointSpec(f"e{n}", "milano", "127.0.0.1:80"), slots=2) for n in range(2)
        ]
        for endpoint in endpoints:
            endpoint.record_reply(LoadReport(slots=2, in_flight=2, queued=5), 9_990.0, 10_000.0)

        assert ServiceState("catalogue").may_hedge(endpoints, 10_100.0) is False

"""Tests of event loop lag, as it arises when many replies arrive together."""

import pytest

from forward_harness import forward_harness
from radishmount.endpoints import ForwardCall
from radishmount.forwarding import EventLoopLag, make_plan


class TestEventLoopLag:
    """The estimate rises fast and falls slowly."""

    def test_the_lag_rises_within_a_few_late_timers(self) -> None:
        lag = EventLoopLag()
        for _ in range(5):
            lag.add(8.0)

        assert 10.0 < lag.reply_margin_ms() <= 16.0

    def test_one_timer_in_time_lowers_the_lag_only_a_little(self) -> None:
        lag = EventLoopLag(8.0)
        lag.add(0.0)

        assert lag.reply_margin_ms() > 14.0

    def test_one_pause_of_seconds_is_not_an_overload(self) -> None:
        lag = EventLoopLag()
        lag.add(4_000.0)

        assert lag.load() < 0.75

    def test_lasting_lag_is_an_overload_until_it_ends(self) -> None:
        lag = EventLoopLag()
        for _ in range(10):
            lag.add(60.0)
        overloaded = lag.load()
        for _ in range(40):
            lag.add(0.0)

        assert overloaded > 1.0
        assert lag.load() < 0.75

    def test_the_margin_is_bounded(self) -> None:
        assert EventLoopLag(500.0).reply_margin_ms() == 30.0


@pytest.mark.looptime
class TestLagInPlans:
    """An instance with event loop lag decides on its answer earlier."""

    async def test_a_partial_answer_is_decided_on_earlier_by_the_lag(self) -> None:
        async with forward_harness(4) as harness:
            route = harness.fan_out_route()
            call = ForwardCall("r1", "GET", "/x")
            plans = [
                make_plan(call, route, 0.0, None, harness.random, lag_ms) for lag_ms in (0.0, 9.0)
            ]

            assert plans[0].partial_reply_at_ms - plans[1].partial_reply_at_ms == 9.0
            assert plans[0].deadline_at_ms == plans[1].deadline_at_ms

    async def test_timers_in_time_cause_no_lag(self) -> None:
        async with forward_harness(4) as harness:
            for endpoint in harness.endpoints_of("s3"):
                endpoint.silent = True
            for _ in range(10):
                await harness.send(harness.fan_out_route())

            assert harness.context.event_loop_lag.reply_margin_ms() < 1.0

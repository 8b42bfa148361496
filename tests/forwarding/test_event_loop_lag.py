"""Tests of the load pattern in which replies come together and an instance acts late."""

import pytest

from forward_harness import forward_harness
from radishmount.endpoints import ForwardCall
from radishmount.forwarding import EventLoopLag, make_plan


class TestEventLoopLag:
    """Lateness is noticed soon and forgotten slowly."""

    def test_a_burst_is_noticed_within_a_few_requests(self) -> None:
        lag = EventLoopLag()
        for _ in range(5):
            lag.add(8.0)

        assert 10.0 < lag.reply_margin_ms() <= 16.0

    def test_one_turn_in_time_forgets_little(self) -> None:
        lag = EventLoopLag(8.0)
        lag.add(0.0)

        assert lag.reply_margin_ms() > 14.0

    def test_one_pause_of_seconds_is_no_overload(self) -> None:
        lag = EventLoopLag()
        lag.add(4_000.0)

        assert lag.load() < 0.75

    def test_an_instance_that_is_always_late_is_overloaded_until_it_is_not(self) -> None:
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
class TestPlannedLag:
    """An instance that acts late decides earlier."""

    async def test_the_answer_is_settled_earlier_by_the_lag(self) -> None:
        async with forward_harness(4) as world:
            route = world.fan_out_route()
            call = ForwardCall("r1", "GET", "/x")
            plans = [
                make_plan(call, route, 0.0, None, world.random, lag_ms) for lag_ms in (0.0, 9.0)
            ]

            assert plans[0].partial_reply_at_ms - plans[1].partial_reply_at_ms == 9.0
            assert plans[0].deadline_at_ms == plans[1].deadline_at_ms

    async def test_timers_in_time_leave_no_lag(self) -> None:
        async with forward_harness(4) as world:
            for back_end in world.endpoints_of("s3"):
                back_end.silent = True
            for _ in range(10):
                await world.ask(world.fan_out_route())

            assert world.tools.event_loop_lag.reply_margin_ms() < 1.0

"""Tests of requests that go to one endpoint of a service."""

import asyncio

import pytest

from forward_harness import forward_harness
from radishmount.codes import Code, RunStatus


pytestmark = pytest.mark.looptime


class TestIdempotent:
    """A request that may run more than once."""

    async def test_a_lost_answer_is_asked_for_elsewhere(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.losses = 1

            first = await world.ask(world.single_route(max_attempts=2))

            assert first.err_value.code is Code.CONNECTION_LOST
            assert world.runs_of("r1") == 2

    async def test_attempts_are_bounded_by_the_route(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.losses = 5

            await world.ask(world.single_route(max_attempts=1))

            assert world.runs_of("r1") == 1

    async def test_a_slow_endpoint_is_hedged(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.service_ms = 900.0 if back_end.name == "s0-a" else 10.0
            route = world.single_route()

            answers = [await world.ask(route) for _ in range(6)]

            assert all(answer.is_ok() for answer in answers)
            assert world.counters.value("forwarded", "hedge") >= 1

    async def test_an_error_of_the_endpoint_is_passed_on_when_all_fail(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.failures = 9

            answer = await world.ask(world.single_route())

            assert answer.ok_value.status == 500


class TestAtMostOnce:
    """A request that must not run twice."""

    async def test_a_lost_answer_is_not_asked_for_again(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.losses = 1

            answer = await world.ask(world.single_route(idempotent=False))

            assert answer.err_value.ran is RunStatus.UNKNOWN
            assert world.runs_of("r1") == 1

    async def test_a_refusal_of_an_endpoint_is_tried_elsewhere(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.refusals = 1
            world.endpoints_by_name["s0-b"].refusals = 0

            answer = await world.ask(world.single_route(idempotent=False))

            assert answer.is_ok()
            assert world.runs_of("r1") == 1

    async def test_not_run_is_said_when_every_endpoint_refused(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.refusals = 9

            answer = await world.ask(world.single_route(idempotent=False))

            assert answer.err_value.ran is RunStatus.NOT_RUN
            assert world.runs_of("r1") == 0

    async def test_it_is_never_hedged(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.service_ms = 800.0

            await world.ask(world.single_route(idempotent=False))

            assert world.arrivals_of("r1") == 1

    async def test_silence_until_the_deadline_may_have_run(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.silent = True

            answer = await world.ask(world.single_route(idempotent=False))

            assert answer.err_value.ran is RunStatus.UNKNOWN
            assert answer.err_value.code is Code.TIMED_OUT


class TestTime:
    """One deadline, told to the endpoints as what is left of it."""

    async def test_the_route_bounds_what_the_caller_allows(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.silent = True
            began_ms = world.clock.now_ms()

            await world.ask(world.single_route(timeout_ms=300.0), time_left_ms=5_000.0)

            assert world.clock.now_ms() - began_ms <= 300.0
            assert all(left <= 300.0 for b in world.endpoints_of("s0") for left in b.time_left_ms)

    async def test_a_caller_that_leaves_ends_the_work(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.service_ms = 800.0
            asking = asyncio.create_task(world.ask(world.single_route()))
            await asyncio.sleep(0.05)

            asking.cancel()
            await asyncio.sleep(0.01)

            abandoned = [request_id for b in world.endpoints_of("s0") for request_id in b.abandoned]
            assert len(abandoned) == world.runs_of("r1") == 1

    async def test_an_unreachable_service_is_refused_at_once(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.unreachable = True
            began_ms = world.clock.now_ms()

            answer = await world.ask(world.single_route())

            assert answer.err_value.ran is RunStatus.NOT_RUN
            assert world.clock.now_ms() - began_ms < 100.0

"""Tests of requests whose answer is merged from the parts of all shards."""

import asyncio

import pytest

from forward_harness import forward_harness
from radishmount.codes import RunStatus
from radishmount.endpoints import slow_start_weight


pytestmark = pytest.mark.looptime


class TestForwardExecution:
    """One part of each shard, or as many as come in time."""

    async def test_every_shard_is_asked_once(self) -> None:
        async with forward_harness(4) as world:
            answer = await world.ask(world.fan_out_route())

            assert answer.ok_value.missing_count == 0
            assert len(set(answer.ok_value.signatures)) == 4
            assert world.arrivals_of("r1") == 4

    async def test_an_endpoint_that_is_still_cold_takes_less_of_the_work(self) -> None:
        async with forward_harness(1, cold_ms_by_name={"s0-a": 4_000.0}) as world:
            cold, *warm = world.pool.endpoints_of("s0")

            assert slow_start_weight(cold, 0.0) < 0.5
            assert slow_start_weight(cold, 4_000.0) == 1.0
            assert [slow_start_weight(endpoint, 0.0) for endpoint in warm] == [1.0, 1.0]

    async def test_an_error_of_an_endpoint_is_no_part(self) -> None:
        async with forward_harness(4) as world:
            for back_end in world.endpoints_of("s1"):
                back_end.failures = 1

            answer = await world.ask(world.fan_out_route(max_attempts=2))

            assert answer.ok_value.missing_count == 1
            assert not any("s1" in signature for signature in answer.ok_value.signatures)

    async def test_a_paused_endpoint_is_hedged_in_time(self) -> None:
        async with forward_harness(4) as world:
            route = world.fan_out_route()
            for _ in range(20):
                await world.ask(route)
            world.endpoints_by_name["s2-a"].service_ms = 500.0
            world.endpoints_by_name["s2-b"].service_ms = 500.0
            began_ms = world.clock.now_ms()

            answer = await world.ask(route)

            assert answer.ok_value.missing_count <= 1
            assert world.clock.now_ms() - began_ms <= route.target_latency_ms

    async def test_a_missing_part_does_not_make_the_answer_late(self) -> None:
        async with forward_harness(4) as world:
            for back_end in world.endpoints_of("s3"):
                back_end.silent = True
            route = world.fan_out_route()
            began_ms = world.clock.now_ms()

            answer = await world.ask(route)

            assert answer.ok_value.missing_count == 1
            assert world.clock.now_ms() - began_ms <= route.target_latency_ms

    async def test_too_few_parts_are_no_answer(self) -> None:
        async with forward_harness(4) as world:
            for back_end in [*world.endpoints_of("s2"), *world.endpoints_of("s3")]:
                back_end.silent = True

            answer = await world.ask(world.fan_out_route())

            assert answer.err_value.ran is RunStatus.UNKNOWN

    async def test_what_cannot_be_served_is_refused_at_once(self) -> None:
        async with forward_harness(4) as world:
            for back_end in [*world.endpoints_of("s2"), *world.endpoints_of("s3")]:
                back_end.unreachable = True
            for back_end in [*world.endpoints_of("s0"), *world.endpoints_of("s1")]:
                back_end.service_ms = 500.0
            began_ms = world.clock.now_ms()

            answer = await world.ask(world.fan_out_route())

            assert answer.is_err()
            assert world.clock.now_ms() - began_ms < 100.0

    async def test_a_caller_that_leaves_ends_the_work_everywhere(self) -> None:
        async with forward_harness(4) as world:
            for back_end in world.endpoints_by_name.values():
                back_end.service_ms = 800.0
            asking = asyncio.create_task(world.ask(world.fan_out_route()))
            await asyncio.sleep(0.01)

            asking.cancel()
            await asyncio.sleep(0.01)

            abandoned = sum(len(b.abandoned) for b in world.endpoints_by_name.values())
            assert abandoned == world.runs_of("r1") == 4

"""Tests of requests whose answer is merged from the replies of all shards."""

import asyncio

import pytest

from forward_harness import forward_harness
from radishmount.codes import RunStatus
from radishmount.endpoints import slow_start_weight


pytestmark = pytest.mark.looptime


class TestForwardExecution:
    """The answer has one reply of each shard, or as many as come in time."""

    async def test_every_shard_gets_the_request_once(self) -> None:
        async with forward_harness(4) as harness:
            answer = await harness.send(harness.fan_out_route())

            assert answer.ok_value.missing_count == 0
            assert len(set(answer.ok_value.signatures)) == 4
            assert harness.received_count("r1") == 4

    async def test_a_cold_endpoint_has_a_lower_weight(self) -> None:
        async with forward_harness(1, cold_ms_by_name={"s0-a": 4_000.0}) as harness:
            cold, *warm = harness.pool.endpoints_of("s0")

            assert slow_start_weight(cold, 0.0) < 0.5
            assert slow_start_weight(cold, 4_000.0) == 1.0
            assert [slow_start_weight(endpoint, 0.0) for endpoint in warm] == [1.0, 1.0]

    async def test_an_endpoint_that_stays_cold_for_long_keeps_the_least_weight(self) -> None:
        """A weight below zero would make the choice raise, or turn it around."""
        async with forward_harness(1, cold_ms_by_name={"s0-a": 60_000.0}) as harness:
            cold = next(iter(harness.pool.endpoints_of("s0")))

            assert slow_start_weight(cold, 0.0) == pytest.approx(0.1)

    async def test_a_service_not_used_before_is_as_cold_as_when_it_was_published(self) -> None:
        """Connection pools are made on first use, which may be long after the endpoint started."""
        async with forward_harness(1, cold_ms_by_name={"s0-a": 4_000.0}) as harness:
            await asyncio.sleep(4.0)
            cold = next(iter(harness.pool.endpoints_of("s0")))

            assert slow_start_weight(cold, harness.clock.now_ms()) == 1.0

    async def test_an_error_response_is_not_merged(self) -> None:
        async with forward_harness(4) as harness:
            for endpoint in harness.endpoints_of("s1"):
                endpoint.requests_to_fail = 1

            answer = await harness.send(harness.fan_out_route(max_attempts=2))

            assert answer.ok_value.missing_count == 1
            assert not any("s1" in signature for signature in answer.ok_value.signatures)

    async def test_a_request_to_a_slow_endpoint_is_hedged_in_time(self) -> None:
        async with forward_harness(4) as harness:
            route = harness.fan_out_route()
            for _ in range(20):
                await harness.send(route)
            harness.endpoints_by_name["s2-a"].service_ms = 500.0
            harness.endpoints_by_name["s2-b"].service_ms = 500.0
            began_ms = harness.clock.now_ms()

            answer = await harness.send(route)

            assert answer.ok_value.missing_count <= 1
            assert harness.clock.now_ms() - began_ms <= route.target_latency_ms

    async def test_a_silent_shard_does_not_make_the_answer_late(self) -> None:
        async with forward_harness(4) as harness:
            for endpoint in harness.endpoints_of("s3"):
                endpoint.silent = True
            route = harness.fan_out_route()
            began_ms = harness.clock.now_ms()

            answer = await harness.send(route)

            assert answer.ok_value.missing_count == 1
            assert harness.clock.now_ms() - began_ms <= route.target_latency_ms

    async def test_too_few_replies_give_no_answer(self) -> None:
        async with forward_harness(4) as harness:
            for endpoint in [*harness.endpoints_of("s2"), *harness.endpoints_of("s3")]:
                endpoint.silent = True

            answer = await harness.send(harness.fan_out_route())

            assert answer.err_value.ran is RunStatus.UNKNOWN

    async def test_a_request_that_cannot_get_enough_replies_is_refused_at_once(self) -> None:
        async with forward_harness(4) as harness:
            for endpoint in [*harness.endpoints_of("s2"), *harness.endpoints_of("s3")]:
                endpoint.unreachable = True
            for endpoint in [*harness.endpoints_of("s0"), *harness.endpoints_of("s1")]:
                endpoint.service_ms = 500.0
            began_ms = harness.clock.now_ms()

            answer = await harness.send(harness.fan_out_route())

            assert answer.is_err()
            assert harness.clock.now_ms() - began_ms < 100.0

    async def test_a_caller_that_disconnects_cancels_the_request_at_every_endpoint(self) -> None:
        async with forward_harness(4) as harness:
            for endpoint in harness.endpoints_by_name.values():
                endpoint.service_ms = 800.0
            task = asyncio.create_task(harness.send(harness.fan_out_route()))
            await asyncio.sleep(0.01)

            task.cancel()
            await asyncio.sleep(0.01)

            cancelled = sum(
                len(endpoint.cancelled_ids) for endpoint in harness.endpoints_by_name.values()
            )
            assert cancelled == harness.run_count("r1") == 4

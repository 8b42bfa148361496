"""Tests of requests that go to one endpoint of a service."""

import asyncio

import pytest

from forward_harness import forward_harness
from radishmount.codes import Code, RunStatus


pytestmark = pytest.mark.looptime


class TestIdempotent:
    """An idempotent request may run more than once."""

    async def test_a_request_with_a_lost_reply_is_retried_at_another_endpoint(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.requests_to_lose = 1

            first = await harness.send(harness.single_route(max_attempts=2))

            assert first.err_value.code is Code.CONNECTION_LOST
            assert harness.run_count("r1") == 2

    async def test_the_route_limits_the_attempts(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.requests_to_lose = 5

            await harness.send(harness.single_route(max_attempts=1))

            assert harness.run_count("r1") == 1

    async def test_a_request_to_a_slow_endpoint_is_hedged(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.service_ms = 900.0 if endpoint.name == "s0-a" else 10.0
            route = harness.single_route()

            answers = [await harness.send(route) for _ in range(6)]

            assert all(answer.is_ok() for answer in answers)
            assert harness.counters.value("forwarded", "hedge") >= 1

    async def test_an_error_response_is_passed_on_when_every_endpoint_fails(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.requests_to_fail = 9

            answer = await harness.send(harness.single_route())

            assert answer.ok_value.status == 500


class TestAtMostOnce:
    """A request that is not idempotent runs at most once."""

    async def test_a_request_with_a_lost_reply_is_not_retried(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.requests_to_lose = 1

            answer = await harness.send(harness.single_route(idempotent=False))

            assert answer.err_value.ran is RunStatus.UNKNOWN
            assert harness.run_count("r1") == 1

    async def test_a_request_that_was_shed_is_retried_at_another_endpoint(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.requests_to_shed = 1
            harness.endpoints_by_name["s0-b"].requests_to_shed = 0

            answer = await harness.send(harness.single_route(idempotent=False))

            assert answer.is_ok()
            assert harness.run_count("r1") == 1

    async def test_a_request_shed_by_every_endpoint_is_reported_as_not_run(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.requests_to_shed = 9

            answer = await harness.send(harness.single_route(idempotent=False))

            assert answer.err_value.ran is RunStatus.NOT_RUN
            assert harness.run_count("r1") == 0

    async def test_it_is_never_hedged(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.service_ms = 800.0

            await harness.send(harness.single_route(idempotent=False))

            assert harness.received_count("r1") == 1

    async def test_a_request_without_a_reply_by_the_deadline_may_have_run(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.silent = True

            answer = await harness.send(harness.single_route(idempotent=False))

            assert answer.err_value.ran is RunStatus.UNKNOWN
            assert answer.err_value.code is Code.TIMED_OUT


class TestDeadline:
    """One deadline bounds the request, and the endpoints get the remaining time."""

    async def test_the_timeout_of_the_route_limits_the_deadline_of_the_caller(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.silent = True
            began_ms = harness.clock.now_ms()

            await harness.send(harness.single_route(timeout_ms=300.0), time_left_ms=5_000.0)

            assert harness.clock.now_ms() - began_ms <= 300.0
            assert all(
                remaining_ms <= 300.0
                for endpoint in harness.endpoints_of("s0")
                for remaining_ms in endpoint.time_left_ms
            )

    async def test_a_caller_that_disconnects_cancels_the_request(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.service_ms = 800.0
            task = asyncio.create_task(harness.send(harness.single_route()))
            await asyncio.sleep(0.05)

            task.cancel()
            await asyncio.sleep(0.01)

            cancelled = [
                request_id
                for endpoint in harness.endpoints_of("s0")
                for request_id in endpoint.cancelled_ids
            ]
            assert len(cancelled) == harness.run_count("r1") == 1

    async def test_an_unreachable_service_is_refused_at_once(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.unreachable = True
            began_ms = harness.clock.now_ms()

            answer = await harness.send(harness.single_route())

            assert answer.err_value.ran is RunStatus.NOT_RUN
            assert harness.clock.now_ms() - began_ms < 100.0

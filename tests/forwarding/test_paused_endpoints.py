"""Endpoints that ask for a pause get no requests until it is over."""

import asyncio

import pytest
from result import Err

from forward_harness import ForwardHarness, forward_harness
from radishmount.codes import Code, RunStatus
from radishmount.endpoints import LoadReport


pytestmark = pytest.mark.looptime

PAUSE_MS = 2_000.0
REQUESTS = 30


async def ask_for_pause(harness: ForwardHarness, name: str) -> None:
    """Send requests until the endpoint has shed one and asked for a pause."""
    endpoint = harness.endpoints_by_name[name]
    endpoint.requests_to_shed = 1
    endpoint.pause_ms = PAUSE_MS
    while endpoint.requests_to_shed:
        await harness.send(harness.single_route())
    endpoint.received_ids.clear()


class TestPause:
    """An endpoint refuses a request and asks for a pause."""

    async def test_nothing_is_sent_to_it_until_the_pause_is_over(self) -> None:
        """Guards against requests, retries and hedges that reach it meanwhile."""
        async with forward_harness(services=1) as harness:
            await ask_for_pause(harness, "s0-a")
            paused = harness.endpoints_by_name["s0-a"]
            for _ in range(REQUESTS):
                await harness.send(harness.single_route())
            during = len(paused.received_ids)
            await asyncio.sleep(PAUSE_MS / 1000.0 + 6.0)
            for _ in range(2 * REQUESTS):
                await harness.send(harness.single_route())

            assert during == 0
            assert paused.received_ids

    async def test_its_load_returns_by_degrees(self) -> None:
        """Guards against a full share of the load at the moment at which the pause ends."""
        async with forward_harness(services=1) as harness:
            await ask_for_pause(harness, "s0-a")
            await asyncio.sleep(PAUSE_MS / 1000.0 + 0.01)
            for _ in range(REQUESTS):
                await harness.send(harness.single_route())

            assert len(harness.endpoints_by_name["s0-a"].received_ids) <= REQUESTS / 6

    async def test_it_holds_when_the_entry_of_the_endpoint_lapses_and_returns(self) -> None:
        """Guards against a pause that is forgotten with the endpoint's connections."""
        async with forward_harness(services=2) as harness:
            await ask_for_pause(harness, "s0-a")
            await harness.publish(["s1"])
            harness.pool.retired_connection_pools.clear()
            await harness.publish(["s0", "s1"])
            for _ in range(REQUESTS):
                await harness.send(harness.single_route())

            assert harness.endpoints_by_name["s0-a"].received_ids == []

    async def test_a_longer_pause_holds_over_a_lapsed_entry_too(self) -> None:
        """Guards against a pause that is kept as it was when it began, not as it was extended."""
        async with forward_harness(services=2) as harness:
            await ask_for_pause(harness, "s0-a")
            endpoint = harness.pool.connection_pools_by_name["s0-a"].endpoint
            now_ms = harness.clock.now_ms()
            endpoint.record_report(LoadReport(pause_ms=3.0 * PAUSE_MS), now_ms, now_ms)
            await harness.publish(["s1"])
            harness.pool.retired_connection_pools.clear()
            await harness.publish(["s0", "s1"])
            await asyncio.sleep(1.5 * PAUSE_MS / 1000.0)
            for _ in range(REQUESTS):
                await harness.send(harness.single_route())

            assert harness.endpoints_by_name["s0-a"].received_ids == []

    async def test_requests_are_refused_at_once_while_all_endpoints_pause(self) -> None:
        """Guards against requests that wait for their deadline though none can be served."""
        async with forward_harness(services=1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.requests_to_shed = 1
                endpoint.pause_ms = PAUSE_MS
            await harness.send(harness.single_route())
            for endpoint in harness.endpoints_of("s0"):
                endpoint.received_ids.clear()
            started_at_ms = harness.clock.now_ms()
            outcomes = [await harness.send(harness.single_route()) for _ in range(5)]
            took_ms = harness.clock.now_ms() - started_at_ms
            refusals = [outcome.err_value for outcome in outcomes if isinstance(outcome, Err)]
            waits_ms = [refusal.retry_after_ms or 0.0 for refusal in refusals]

            assert took_ms < 10.0
            assert {(r.code, r.ran) for r in refusals} == {(Code.NO_ENDPOINT, RunStatus.NOT_RUN)}
            assert len(refusals) == 5
            assert all(0.9 * PAUSE_MS <= wait_ms <= 1.6 * PAUSE_MS for wait_ms in waits_ms)
            assert len(set(waits_ms)) == 5
            assert not any(endpoint.received_ids for endpoint in harness.endpoints_of("s0"))

    async def test_another_answer_does_not_shorten_it(self) -> None:
        """Guards against a pause that ends with the answer to a request sent before it."""
        async with forward_harness(services=1) as harness:
            harness.use_all_services()
            slow = harness.endpoints_by_name["s0-a"]
            slow.service_ms = 100.0
            route = harness.single_route()
            under_way = [asyncio.create_task(harness.send(route)) for _ in range(6)]
            await asyncio.sleep(0.01)
            await ask_for_pause(harness, "s0-a")
            await asyncio.gather(*under_way)
            slow.received_ids.clear()
            for _ in range(REQUESTS):
                await harness.send(route)

            assert slow.received_ids == []

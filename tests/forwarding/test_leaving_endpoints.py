"""Endpoints that leave get no new requests, whoever says that they leave and whatever follows."""

import asyncio

import pytest

from forward_harness import forward_harness
from radishmount.forwarding import RetryBudgetSettings


pytestmark = pytest.mark.looptime

REQUESTS = 30


class TestListedAsLeaving:
    """The list of endpoints says that an endpoint leaves."""

    async def test_it_is_not_used_when_its_service_is_published_again(self) -> None:
        """Guards against connections that are taken into use again as they were before."""
        async with forward_harness(services=2) as harness:
            for _ in range(REQUESTS):
                await harness.send(harness.single_route())
            await harness.publish(["s1"])
            await harness.publish(["s0", "s1"])
            harness.pool.apply_leaving_list(frozenset({"s0-a"}))
            harness.endpoints_by_name["s0-a"].received_ids.clear()
            for _ in range(REQUESTS):
                await harness.send(harness.single_route())

            assert harness.endpoints_by_name["s0-a"].received_ids == []


class TestOwnAnnouncement:
    """An endpoint says in its replies that it leaves, while the list does not say so."""

    async def test_no_request_follows_the_first_reply_that_says_so(self) -> None:
        """Guards against an instance that goes on sending while nothing else tells it to stop."""
        async with forward_harness(services=1) as harness:
            leaving = harness.endpoints_by_name["s0-a"]
            leaving.leaving = True
            while not leaving.received_ids:
                await harness.send(harness.single_route())
            await asyncio.sleep(5.0)
            for _ in range(REQUESTS):
                await harness.send(harness.single_route())

            assert len(leaving.received_ids) == 1

    async def test_a_probe_that_does_not_say_so_changes_nothing(self) -> None:
        """Guards against an announcement that is forgotten when a connection is opened."""
        async with forward_harness(services=1) as harness:
            leaving = harness.endpoints_by_name["s0-a"]
            leaving.leaving = True
            while not leaving.received_ids:
                await harness.send(harness.single_route())
            pool = harness.pool.connection_pools_by_name["s0-a"]
            sent_at_ms = harness.clock.now_ms()
            report = (await pool.open_channel("s0-a").probe()).unwrap()
            pool.endpoint.record_report(report, sent_at_ms, sent_at_ms + 1.0)
            for _ in range(REQUESTS):
                await harness.send(harness.single_route())

            assert len(leaving.received_ids) == 1

    async def test_it_holds_when_the_entry_of_the_endpoint_lapses_and_returns(self) -> None:
        """Guards against an announcement that is forgotten with the endpoint's connections."""
        async with forward_harness(services=2) as harness:
            leaving = harness.endpoints_by_name["s0-a"]
            leaving.leaving = True
            while not leaving.received_ids:
                await harness.send(harness.single_route())
            await harness.publish(["s1"])
            harness.pool.retired_connection_pools.clear()
            await harness.publish(["s0", "s1"])
            for _ in range(REQUESTS):
                await harness.send(harness.single_route())

            assert len(leaving.received_ids) == 1

    async def test_a_request_that_is_refused_so_is_sent_elsewhere_at_once(self) -> None:
        """Guards against an announcement that is only read in successful replies."""
        async with forward_harness(services=1) as harness:
            leaving = harness.endpoints_by_name["s0-a"]
            leaving.leaving = True
            leaving.requests_to_shed = 1_000
            outcomes = [await harness.send(harness.single_route()) for _ in range(REQUESTS)]

            assert all(outcome.is_ok() for outcome in outcomes)
            assert len(leaving.received_ids) <= 1

    async def test_requests_that_wait_for_it_go_elsewhere_without_the_retry_budget(self) -> None:
        """Guards against requests that wait, or are given up, though they never left for it."""
        settings = RetryBudgetSettings(ratio=0.0, slack=0.0)
        async with forward_harness(services=1, retry_settings=settings) as harness:
            harness.use_all_services()
            leaving = harness.endpoints_by_name["s0-a"]
            leaving.service_ms = 200.0
            leaving.leaving = True
            pool = harness.pool.connection_pools_by_name["s0-a"]
            pool.set_connection_limit(1)
            only_choice = harness.context.choose
            harness.context.choose = lambda endpoints, excluded, now_ms: next(
                (e for e in endpoints if e.name not in excluded and e.is_available(now_ms)), None
            )
            route = harness.single_route(idempotent=False)
            outcomes = await asyncio.gather(*(harness.send(route) for _ in range(6)))
            harness.context.choose = only_choice

            assert all(outcome.is_ok() for outcome in outcomes)
            assert len(leaving.received_ids) == 1

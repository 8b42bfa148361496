"""Tests of forwarding under overload, when requests queue at every endpoint."""

import asyncio

import pytest

from forward_harness import forward_harness
from radishmount.endpoints import Endpoint, LoadReport
from radishmount.forwarding import has_queued_requests
from radishmount.publication import EndpointSpec


pytestmark = pytest.mark.looptime


def endpoint_reporting(queued: int) -> Endpoint:
    """Return an endpoint that has just reported `queued` requests."""
    endpoint = Endpoint(EndpointSpec("e", "milano", "127.0.0.1:80"), slots=2)
    endpoint.record_report(LoadReport(slots=2, in_flight=2, queued=queued), 1_000.0, 1_010.0)
    return endpoint


class TestHasQueuedRequests:
    """Whether the last report is recent and shows a queue."""

    def test_a_recent_report_with_a_queue_counts(self) -> None:
        assert has_queued_requests(endpoint_reporting(3), 1_100.0)

    def test_a_recent_report_without_a_queue_does_not_count(self) -> None:
        assert not has_queued_requests(endpoint_reporting(0), 1_100.0)

    def test_an_old_report_is_ignored(self) -> None:
        assert not has_queued_requests(endpoint_reporting(3), 2_000.0)


class TestHedgesUnderOverload:
    """Hedges and unneeded attempts do not lengthen the queues."""

    async def test_no_hedge_is_sent_to_an_endpoint_with_a_queue(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.service_ms = 150.0
                endpoint.queued = 4
            route = harness.single_route()
            await asyncio.gather(*(harness.send(route) for _ in range(9)))
            hedges = harness.counters.value("forwarded", "hedge")

            await harness.send(route)

            assert harness.counters.value("forwarded", "hedge") == hedges
            assert harness.counters.value("hedges_withheld", "full") > 0

    async def test_no_repeat_is_sent_where_first_attempts_need_the_room(self) -> None:
        async with forward_harness(1) as harness:
            harness.context.withholds_repeat = lambda plan, service: service == "s0"
            for endpoint in harness.endpoints_of("s0"):
                endpoint.service_ms = 300.0
                endpoint.requests_to_shed = 1
            route = harness.single_route()

            outcomes = [await harness.send(route) for _ in range(9)]

            assert [outcome.is_ok() for outcome in outcomes].count(False) == 3
            assert harness.counters.value("forwarded", "first") == 9
            assert harness.counters.value("forwarded", "hedge") == 0
            assert harness.counters.value("forwarded", "retry") == 0

    async def test_attempts_not_sent_yet_are_cancelled_with_the_answer(self) -> None:
        async with forward_harness(4) as harness:
            for endpoint in harness.endpoints_of("s3"):
                endpoint.silent = True
            route = harness.fan_out_route(timeout_ms=3_000.0)

            for _ in range(130):
                await harness.send(route)

            waiting = sum(
                len(connection_pool.queue)
                for connection_pool in harness.pool.connection_pools_by_name.values()
            )
            assert waiting == 0

    async def test_a_stuck_exchange_is_cancelled_with_the_answer(self) -> None:
        async with forward_harness(4) as harness:
            for endpoint in harness.endpoints_of("s3"):
                endpoint.service_ms = 900.0

            await harness.send(harness.fan_out_route())
            await asyncio.sleep(0.01)

            assert sum(len(endpoint.cancelled_ids) for endpoint in harness.endpoints_of("s3")) >= 1


class TestUnusedServices:
    """Pattern: in a large fleet most instances forward nothing, and hold nothing for it."""

    async def test_connection_pools_are_made_on_the_first_request_of_a_service(self) -> None:
        async with forward_harness(4) as harness:
            assert harness.pool.connection_pools_by_name == {}

            assert (await harness.send(harness.single_route())).is_ok()

            assert set(harness.pool.connection_pools_by_name) == {"s0-a", "s0-b", "s0-c"}

    async def test_a_change_leaves_unused_services_as_they_are(self) -> None:
        async with forward_harness(4) as harness:
            await harness.send(harness.single_route())

            await harness.pool.apply_publication(harness.pool.publication, ["entry", "other"])
            harness.pool.apply_leaving_list(frozenset({"s0-a", "s1-a"}))

            assert set(harness.pool.connection_pools_by_name) == {"s0-a", "s0-b", "s0-c"}
            leaving = [e.name for e in harness.pool.endpoints_of("s1") if e.is_leaving(0.0)]
            assert leaving == ["s1-a"]

    async def test_a_hint_about_an_endpoint_not_used_so_far_is_kept(self) -> None:
        """An instance that has just become preferred must not try slow endpoints first."""
        async with forward_harness(2) as harness:
            harness.pool.apply_slow_endpoint_hints({"s1-b": 700.0, "unknown": 700.0})

            (slow,) = [e for e in harness.pool.endpoints_of("s1") if e.name == "s1-b"]
            assert slow.latency.value_ms == 700.0


class TestPreferredInstances:
    """Callers send all requests to a few of many instances."""

    async def test_a_preferred_instance_has_connections_to_every_endpoint(self) -> None:
        async with forward_harness(4) as harness:
            harness.use_all_services()
            names = ["entry", *(f"other-{n}" for n in range(68))]
            await harness.pool.apply_publication(harness.pool.publication, names, preferred_count=8)
            limits_if_preferred = {
                connection_pool.connection_limit
                for connection_pool in harness.pool.connection_pools_by_name.values()
            }
            await harness.pool.apply_publication(harness.pool.publication, names)
            limits_otherwise = {
                connection_pool.connection_limit
                for connection_pool in harness.pool.connection_pools_by_name.values()
            }

            assert limits_if_preferred == {2}
            assert limits_otherwise <= {0, 1}

    async def test_connection_limits_do_not_change_when_all_instances_are_preferred(self) -> None:
        async with forward_harness(4) as harness:
            harness.use_all_services()
            names = ["entry", *(f"other-{n}" for n in range(8))]
            limits = []
            for preferred_count in (None, 9):
                await harness.pool.apply_publication(
                    harness.pool.publication, names, preferred_count
                )
                limits.append(
                    {
                        connection_pool.connection_limit
                        for connection_pool in harness.pool.connection_pools_by_name.values()
                    }
                )

            assert limits[0] == limits[1] == {4}

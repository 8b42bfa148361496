"""Tests of the load pattern in which callers press and every endpoint has a queue."""

import asyncio

import pytest

from forward_harness import forward_harness
from radishmount.endpoints import Endpoint, LoadReport
from radishmount.forwarding import has_queued_requests
from radishmount.publication import EndpointSpec


pytestmark = pytest.mark.looptime


def reporting(queued: int) -> Endpoint:
    """Return an endpoint that has just told how many requests wait."""
    endpoint = Endpoint(EndpointSpec("e", "milano", "127.0.0.1:80"), slots=2)
    endpoint.record_report(LoadReport(slots=2, in_flight=2, queued=queued), 1_000.0, 1_010.0)
    return endpoint


class TestHasQueuedRequests:
    """A queue that was told of lately."""

    def test_requests_that_wait(self) -> None:
        assert has_queued_requests(reporting(3), 1_100.0)

    def test_none_that_wait(self) -> None:
        assert not has_queued_requests(reporting(0), 1_100.0)

    def test_an_old_report_is_not_believed(self) -> None:
        assert not has_queued_requests(reporting(3), 2_000.0)


class TestHedgesGiveWay:
    """What is extra makes no queue longer."""

    async def test_no_hedge_goes_to_a_full_endpoint(self) -> None:
        async with forward_harness(1) as world:
            for back_end in world.endpoints_of("s0"):
                back_end.service_ms = 150.0
                back_end.queued = 4
            route = world.single_route()
            await asyncio.gather(*(world.ask(route) for _ in range(9)))
            hedges = world.counters.value("forwarded", "hedge")

            await world.ask(route)

            assert world.counters.value("forwarded", "hedge") == hedges
            assert world.counters.value("hedges_withheld", "full") > 0

    async def test_what_was_not_sent_is_taken_back_with_the_answer(self) -> None:
        async with forward_harness(4) as world:
            for back_end in world.endpoints_of("s3"):
                back_end.silent = True
            route = world.fan_out_route(timeout_ms=3_000.0)

            for _ in range(130):
                await world.ask(route)

            waiting = sum(
                len(connection_pool.queue)
                for connection_pool in world.pool.connection_pools_by_name.values()
            )
            assert waiting == 0

    async def test_an_exchange_that_is_stuck_is_ended_with_the_answer(self) -> None:
        async with forward_harness(4) as world:
            for back_end in world.endpoints_of("s3"):
                back_end.service_ms = 900.0

            await world.ask(world.fan_out_route())
            await asyncio.sleep(0.01)

            assert sum(len(b.abandoned) for b in world.endpoints_of("s3")) >= 1


class TestCarriers:
    """The load pattern in which few of many instances carry all requests."""

    async def test_a_carrier_has_connections_to_every_endpoint(self) -> None:
        async with forward_harness(4) as world:
            names = ["entry", *(f"other-{n}" for n in range(68))]
            await world.pool.apply_publication(world.pool.publication, names, preferred_count=8)
            as_carrier = {
                connection_pool.connection_limit
                for connection_pool in world.pool.connection_pools_by_name.values()
            }
            await world.pool.apply_publication(world.pool.publication, names)
            as_other = {
                connection_pool.connection_limit
                for connection_pool in world.pool.connection_pools_by_name.values()
            }

            assert as_carrier == {2}
            assert as_other <= {0, 1}

    async def test_equal_instances_have_what_they_had(self) -> None:
        async with forward_harness(4) as world:
            names = ["entry", *(f"other-{n}" for n in range(8))]
            limits = []
            for carriers in (None, 9):
                await world.pool.apply_publication(world.pool.publication, names, carriers)
                limits.append(
                    {
                        connection_pool.connection_limit
                        for connection_pool in world.pool.connection_pools_by_name.values()
                    }
                )

            assert limits[0] == limits[1] == {4}

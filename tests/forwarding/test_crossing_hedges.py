"""Tests of hedges that leave the data centre of the instance."""

import asyncio

import pytest

from forward_harness import DATA_CENTRE, ForwardHarness, forward_harness


pytestmark = pytest.mark.looptime

ONE_AT_HOME = {"b": "torino", "c": "verona"}
SHORT_PAUSE_MS = 30.0  # beyond the usual latency, within the target


async def hedges_in_a_pause(harness: ForwardHarness) -> float:
    """Return how many hedges a search sends while one replica at home pauses for a moment."""
    harness.context.data_centre = DATA_CENTRE
    route = harness.fan_out_route()
    for _ in range(30):
        await harness.send(route)
    await asyncio.sleep(5.0)
    harness.endpoints_by_name["s2-a"].service_ms += SHORT_PAUSE_MS
    before = harness.counters.value("forwarded", "hedge")
    answer = await harness.send(route)
    assert answer.ok_value.missing_count == 0
    return harness.counters.value("forwarded", "hedge") - before


class TestCrossingHedges:
    """Pattern: each shard has one replica at home, and endpoints pause for short moments."""

    async def test_a_reply_that_is_still_in_time_is_waited_for(self) -> None:
        """Hedges at the usual latency of the route send a tenth of all sub-requests across."""
        async with forward_harness(4, data_centre_by_replica=ONE_AT_HOME) as harness:
            assert await hedges_in_a_pause(harness) == 0

    async def test_a_silent_replica_is_hedged_in_time(self) -> None:
        """Failure: the only replica at home stops answering."""
        async with forward_harness(4, data_centre_by_replica=ONE_AT_HOME) as harness:
            harness.context.data_centre = DATA_CENTRE
            harness.endpoints_by_name["s2-a"].silent = True
            route = harness.fan_out_route()
            began_ms = harness.clock.now_ms()

            answer = await harness.send(route)

            assert answer.ok_value.missing_count == 0
            assert harness.clock.now_ms() - began_ms <= route.target_latency_ms

"""Tests of the notices by which instances share that an endpoint is leaving."""

import asyncio

import pytest

from fakes import start_query_harness


pytestmark = pytest.mark.looptime


class TestLeavingNotifier:
    """Peers are notified of a leaving endpoint; a wrong hint expires."""

    async def test_peers_are_notified_at_once(self) -> None:
        harness = await start_query_harness(nodes=("entry-a", "entry-b"))
        await asyncio.sleep(2.0)
        endpoint = harness.endpoints_by_name["catalogue-0-0"]
        other = harness.nodes_by_name["entry-b"]
        endpoint.draining = True
        while (
            not harness.nodes_by_name["entry-a"]
            .pool.connection_pools_by_name["catalogue-0-0"]
            .endpoint.announced_leaving
        ):
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        known = other.pool.connection_pools_by_name["catalogue-0-0"].endpoint.announced_leaving
        received = sum(
            n.counters.value("endpoint_news", "in") for n in harness.nodes_by_name.values()
        )
        await harness.stop()

        assert known
        assert received >= 1

    async def test_a_wrong_hint_expires(self) -> None:
        harness = await start_query_harness()
        await asyncio.sleep(1.0)
        pool = harness.nodes_by_name["entry-a"].pool
        pool.apply_leaving_hint(["catalogue-0-0", "unknown"])
        endpoint = pool.connection_pools_by_name["catalogue-0-0"].endpoint
        now_ms = pool.clock.now_ms
        during = endpoint.is_eligible(now_ms())
        await asyncio.sleep(4.0)
        after = endpoint.is_eligible(now_ms())
        causes = [line.cause for line in pool.audit.lines if line.change == "leaving"]
        await harness.stop()

        assert (during, after) == (False, True)
        assert causes == ["a peer"]

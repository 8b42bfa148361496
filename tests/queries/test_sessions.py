"""Golden files of whole search sessions, on virtual time."""

import asyncio

import pytest
from syrupy.assertion import SnapshotAssertion

from fakes import start_query_harness


pytestmark = pytest.mark.looptime


class TestSearchSessions:
    """What came in, what went to which endpoint when, and what went out."""

    async def test_all_endpoints_well(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness()
        await world.search()
        await world.stop()

        assert world.log.text() == snapshot

    async def test_straggler_is_hedged(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness()
        for number in range(20):
            await world.search(request_id=f"warm-{number}")
        world.log.lines.clear()
        world.endpoints_by_name["catalogue-0-0"].service_ms = 150.0
        world.endpoints_by_name["catalogue-0-1"].service_ms = 11.0
        await world.search(request_id="slow")
        await asyncio.sleep(0.2)
        await world.stop()

        assert world.log.text() == snapshot

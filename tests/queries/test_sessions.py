"""Snapshot tests of whole search sessions on virtual time."""

import asyncio

import pytest
from syrupy.assertion import SnapshotAssertion

from fakes import start_query_harness


pytestmark = pytest.mark.looptime


class TestSearchSessions:
    """The log of searches, sub-requests, replies and answers, with times."""

    async def test_all_endpoints_healthy(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness()
        await harness.search()
        await harness.stop()

        assert harness.log.text() == snapshot

    async def test_straggler_is_hedged(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness()
        for number in range(20):
            await harness.search(request_id=f"warm-{number}")
        harness.log.lines.clear()
        harness.endpoints_by_name["catalogue-0-0"].service_ms = 150.0
        harness.endpoints_by_name["catalogue-0-1"].service_ms = 11.0
        await harness.search(request_id="slow")
        await asyncio.sleep(0.2)
        await harness.stop()

        assert harness.log.text() == snapshot

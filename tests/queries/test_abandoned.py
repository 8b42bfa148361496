"""Tests of searches whose caller has disconnected."""

import asyncio

import pytest

from fakes import start_query_harness


pytestmark = pytest.mark.looptime


class TestAbandonedSearch:
    """Cancelling a search cancels its attempts at the endpoints."""

    async def test_every_open_attempt_is_cancelled(self) -> None:
        harness = await start_query_harness(services=3)
        search = asyncio.create_task(harness.search(request_id="gone"))
        await asyncio.sleep(0.005)
        search.cancel()
        await asyncio.sleep(0.5)
        await harness.stop()

        sent = [line for line in harness.log.lines if "<- gone" in line]
        cancelled = [line for line in harness.log.lines if "-- gone" in line]
        assert len(sent) == len(cancelled) == 3

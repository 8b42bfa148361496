"""A search whose caller has gone."""

import asyncio

import pytest

from fakes import start_query_harness


pytestmark = pytest.mark.looptime


class TestAbandonedSearch:
    """Cancelling a search ends its work at the endpoints."""

    async def test_cancels_every_open_attempt(self) -> None:
        world = await start_query_harness(services=3)
        search = asyncio.create_task(world.search(request_id="gone"))
        await asyncio.sleep(0.005)
        search.cancel()
        await asyncio.sleep(0.5)
        await world.stop()

        sent = [line for line in world.log.lines if "<- gone" in line]
        cancelled = [line for line in world.log.lines if "-- gone" in line]
        assert len(sent) == len(cancelled) == 3

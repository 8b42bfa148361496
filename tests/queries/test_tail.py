"""The tail under a straggler and random slow replies, on virtual time: figures without noise."""

import asyncio
from random import Random

import pytest

from fakes import QueryHarness, start_query_harness
from radishmount.policy import QueryPolicy


pytestmark = pytest.mark.looptime

QUERIES = 600
PAUSE_S = 0.04
SERVICE_MS = 5.0
SLOW_MS = 80.0
SLOW_RATIO = 0.01
STRAGGLER_FACTOR = 10.0


def vary(world: QueryHarness, random: Random) -> None:
    """Draw new service times for every endpoint; one is slow always, each now and then."""
    for name, fake in world.endpoints_by_name.items():
        fake.service_ms = SERVICE_MS * (0.5 + random.expovariate(2.0))
        if name == "catalogue-0-0":
            fake.service_ms *= STRAGGLER_FACTOR
        if random.random() < SLOW_RATIO:
            fake.service_ms += SLOW_MS


async def tail(policy: QueryPolicy) -> tuple[float, float]:
    """Return the p99 in milliseconds and the extra load of the same searches under `policy`."""
    world = await start_query_harness(services=3, replicas=3, policy=policy)
    loop = asyncio.get_running_loop()
    random = Random(5)
    took_ms: list[float] = []

    async def search(number: int) -> None:
        began_s = loop.time()
        await world.search(request_id=f"r{number}")
        took_ms.append((loop.time() - began_s) * 1000.0)

    tasks = []
    for number in range(QUERIES):
        vary(world, random)
        tasks.append(asyncio.create_task(search(number)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)
    await world.stop()
    counters = world.nodes_by_name["entry-a"].counters
    extra = counters.value("sub_requests", "hedge") + counters.value("sub_requests", "retry")
    return sorted(took_ms)[int(0.99 * QUERIES)], extra / (3 * QUERIES)


class TestTail:
    """Hedging at least halves the p99 for no more than 5% extra load."""

    async def test_straggler(self) -> None:
        with_hedges = await tail(QueryPolicy())
        without = await tail(QueryPolicy(hedging=False))

        assert with_hedges[0] <= 0.5 * without[0], (with_hedges, without)
        assert with_hedges[1] <= 0.05, with_hedges

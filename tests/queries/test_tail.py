"""Tests of tail latency under a straggler and random slow replies, exact on virtual time."""

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


def vary_service_times(harness: QueryHarness, random: Random) -> None:
    """Draw new service times for every endpoint: one is always slow, the others rarely."""
    for name, endpoint in harness.endpoints_by_name.items():
        endpoint.service_ms = SERVICE_MS * (0.5 + random.expovariate(2.0))
        if name == "catalogue-0-0":
            endpoint.service_ms *= STRAGGLER_FACTOR
        if random.random() < SLOW_RATIO:
            endpoint.service_ms += SLOW_MS


async def measure_tail(policy: QueryPolicy) -> tuple[float, float]:
    """Run the same searches under `policy`; return their p99 in ms and the extra load."""
    harness = await start_query_harness(services=3, replicas=3, policy=policy)
    loop = asyncio.get_running_loop()
    random = Random(5)
    took_ms: list[float] = []

    async def search(number: int) -> None:
        began_s = loop.time()
        await harness.search(request_id=f"r{number}")
        took_ms.append((loop.time() - began_s) * 1000.0)

    tasks = []
    for number in range(QUERIES):
        vary_service_times(harness, random)
        tasks.append(asyncio.create_task(search(number)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)
    await harness.stop()
    counters = harness.nodes_by_name["entry-a"].counters
    extra = counters.value("sub_requests", "hedge") + counters.value("sub_requests", "retry")
    return sorted(took_ms)[int(0.99 * QUERIES)], extra / (3 * QUERIES)


class TestTail:
    """Hedging at least halves the p99 for at most 5% more sub-requests."""

    async def test_hedging_halves_the_p99_under_a_straggler(self) -> None:
        with_hedges = await measure_tail(QueryPolicy())
        without_hedges = await measure_tail(QueryPolicy(hedging=False))

        assert with_hedges[0] <= 0.5 * without_hedges[0], (with_hedges, without_hedges)
        assert with_hedges[1] <= 0.05, with_hedges

"""What is left in memory of requests that have ended."""

import gc
from collections import Counter

import pytest

from forward_harness import ForwardHarness, forward_harness
from radishmount.endpoints import Attempt, ForwardReply
from radishmount.forwarding import ForwardExecution
from radishmount.routes import Route


pytestmark = pytest.mark.looptime

PARTS_OF_A_REQUEST = (ForwardExecution, ForwardReply, Attempt)


def count_parts() -> Counter[str]:
    """Return how many parts of requests are in memory, by type."""
    return Counter(
        type(each).__name__ for each in gc.get_objects() if isinstance(each, PARTS_OF_A_REQUEST)
    )


async def parts_left_by(
    harness: ForwardHarness, route: Route, after_ms: float = 1.0
) -> Counter[str]:
    """Return the parts that a few requests on `route` leave, without the cyclic collector.

    They are counted `after_ms`, as the handles that wake a task refer to what it waits for.
    """
    gc.collect()
    before = count_parts()
    gc.disable()
    try:
        for _ in range(3):
            await harness.send(route)
        await harness.clock.sleep_ms(after_ms)
        return count_parts() - before
    finally:
        gc.enable()


class TestMemoryOfRequests:
    """Load: large bodies and responses, which each request kept after its end.

    A request and its attempts referred to each other, so its body and all replies stayed until the
    cyclic garbage collector had run: a response of 1 MB for each of the last requests.
    """

    async def test_nothing_is_left_of_a_request_to_one_endpoint(self) -> None:
        async with forward_harness(1) as harness:
            assert not await parts_left_by(harness, harness.single_route())

    async def test_nothing_is_left_of_a_request_to_all_shards(self) -> None:
        async with forward_harness(4) as harness:
            assert not await parts_left_by(harness, harness.fan_out_route())

    async def test_nothing_is_left_of_retries(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.requests_to_lose = 5

            assert not await parts_left_by(harness, harness.single_route(max_attempts=2))

    async def test_nothing_is_left_once_a_late_reply_has_come(self) -> None:
        async with forward_harness(1) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.service_ms = 900.0 if endpoint.name == "s0-a" else 10.0
            assert not await parts_left_by(harness, harness.single_route(), after_ms=2_000.0)

"""Cold endpoints get no more than their rate; what only they could take is refused at once."""

import asyncio
from dataclasses import replace

import pytest
from result import Err, Ok

from forward_harness import ForwardHarness, forward_harness
from radishmount.codes import Code, RunStatus
from radishmount.publication import Publication


pytestmark = pytest.mark.looptime

COLD_PER_S = 10.0  # nine, as a tenth is left for instances that join
REQUESTS = 60
LEARNING_S = 12.0


async def received_in_a_second(harness: ForwardHarness, name: str) -> int:
    """Send requests at an even rate for a second; return how many reached an endpoint."""
    before = len(harness.endpoints_by_name[name].received_ids)
    for _ in range(REQUESTS):
        await harness.send(harness.single_route())
    return len(harness.endpoints_by_name[name].received_ids) - before


async def publish_entry(harness: ForwardHarness, cold_per_s: float, **fields: float) -> None:
    """Publish the service with changed fields of the entry of its endpoint."""
    entry = replace(harness.listed.by_name["s0-a"], **fields)
    harness.listed.put("s0-a", entry, 0.0)
    service = replace(harness.pool.publication.services_by_name["s0"], cold_per_s=cold_per_s)
    publication = Publication(1, "d", services_by_name={"s0": service})
    await harness.pool.apply_publication(harness.listed.merge_into(publication), ["entry"])


class TestColdEntries:
    """The load is that of calm, while endpoints start and services are configured."""

    async def test_a_new_start_that_states_the_same_time_is_cold(self) -> None:
        """Guards against a start that looks like the entry of the one before."""
        async with forward_harness(services=1, replicas="a", cold_per_s=COLD_PER_S) as harness:
            harness.pool.endpoints_of("s0")
            await publish_entry(harness, COLD_PER_S, started_at_ms=1, cold_for_ms=5_000.0)
            await asyncio.sleep(60.0)
            warm = harness.pool.cold_endpoints()
            await publish_entry(harness, COLD_PER_S, started_at_ms=2, cold_for_ms=5_000.0)

            assert (warm, harness.pool.cold_endpoints()) == ([], ["s0-a"])

    async def test_a_rate_that_is_stated_after_the_entry_holds(self) -> None:
        """Guards against an entry that is read before the configuration and then unchanged."""
        async with forward_harness(services=1, replicas="a") as harness:
            harness.pool.endpoints_of("s0")
            await publish_entry(harness, 0.0, started_at_ms=1, cold_for_ms=5_000.0)
            without_rate = harness.pool.cold_endpoints()
            await publish_entry(harness, COLD_PER_S)

            assert (without_rate, harness.pool.cold_endpoints()) == ([], ["s0-a"])


class TestColdEndpoint:
    """The load is that of calm, for a service of which an endpoint starts or turns cold."""

    @pytest.mark.parametrize("cold_per_s", [COLD_PER_S, 0.0])
    async def test_its_rate_holds_when_its_entry_says_so(self, cold_per_s: float) -> None:
        """Guards against slow start alone, by which an endpoint gets a share of any load."""
        async with forward_harness(services=1, replicas="a", cold_per_s=cold_per_s) as harness:
            await asyncio.sleep(LEARNING_S)
            harness.cold_ms_by_name = {"s0-a": 5_000.0}
            await harness.publish(harness.services)

            expected = 9 if cold_per_s else REQUESTS
            assert await received_in_a_second(harness, "s0-a") == expected

    async def test_attempts_that_wait_when_it_turns_cold_keep_its_rate(self) -> None:
        """Guards against a queue that is sent whatever the slots allow."""
        async with forward_harness(services=1, replicas="a", cold_per_s=COLD_PER_S) as harness:
            harness.pool.endpoints_of("s0")
            await asyncio.sleep(LEARNING_S)
            connection_pool = harness.pool.connection_pools_by_name["s0-a"]
            connection_pool.set_connection_limit(4)
            endpoint = harness.endpoints_by_name["s0-a"]
            endpoint.service_ms = 40.0
            route = harness.single_route(max_attempts=1)
            requests = [asyncio.create_task(harness.send(route)) for _ in range(30)]
            await asyncio.sleep(0.01)
            queued = len(connection_pool.queue)
            now_ms = harness.clock.now_ms()
            connection_pool.endpoint.record_cold(now_ms + 5_000.0, "a test", now_ms)
            outcomes = await asyncio.gather(*requests)
            refusals = [outcome.err_value for outcome in outcomes if isinstance(outcome, Err)]

            assert (queued, len(endpoint.received_ids), len(refusals)) == (26, 9, 21)
            assert {(r.code, r.ran) for r in refusals} == {(Code.ENDPOINT_COLD, RunStatus.NOT_RUN)}

    async def test_attempts_that_wait_keep_a_share_that_becomes_smaller(self) -> None:
        """Guards against slots that are counted once, before other instances are known."""
        async with forward_harness(services=1, replicas="a", cold_per_s=COLD_PER_S) as harness:
            await asyncio.sleep(LEARNING_S)
            harness.cold_ms_by_name = {"s0-a": 5_000.0}
            await harness.publish(harness.services)
            harness.pool.endpoints_of("s0")
            harness.pool.connection_pools_by_name["s0-a"].set_connection_limit(1)
            requests = [asyncio.create_task(harness.send(harness.single_route())) for _ in range(9)]
            await asyncio.sleep(0.005)
            harness.pool.known_instances.apply_list(["b", "c"], harness.clock.now_ms())
            await asyncio.gather(*requests)

            assert len(harness.endpoints_by_name["s0-a"].received_ids) == 3

    async def test_the_others_take_what_it_may_not_get(self) -> None:
        async with forward_harness(services=1, replicas="ab", cold_per_s=COLD_PER_S) as harness:
            await asyncio.sleep(LEARNING_S)
            harness.cold_ms_by_name = {"s0-a": 5_000.0}
            await harness.publish(harness.services)
            outcomes = [await harness.send(harness.single_route()) for _ in range(REQUESTS)]

            assert all(isinstance(outcome, Ok) for outcome in outcomes)
            assert len(harness.endpoints_by_name["s0-a"].received_ids) <= 9

    async def test_a_request_that_only_it_could_take_is_told_when_to_come_back(self) -> None:
        """Guards against requests that wait for a cold endpoint until their deadline."""
        async with forward_harness(services=1, replicas="a", cold_per_s=1.0) as harness:
            await asyncio.sleep(LEARNING_S)
            harness.cold_ms_by_name = {"s0-a": 5_000.0}
            await harness.publish(harness.services)
            first = await harness.send(harness.single_route())
            refused_at_ms = harness.clock.now_ms()
            second = await harness.send(harness.single_route())

            assert isinstance(first, Ok) and isinstance(second, Err)
            assert harness.clock.now_ms() == refused_at_ms
            assert second.err_value.code is Code.ENDPOINT_COLD
            assert second.err_value.ran is RunStatus.NOT_RUN
            assert 1_000.0 < (second.err_value.retry_after_ms or 0.0) < 1_600.0

    async def test_an_instance_that_has_just_started_says_when_it_will_send(self) -> None:
        """Guards against callers that stay away until the endpoint is warm."""
        async with forward_harness(services=1, replicas="a", cold_per_s=COLD_PER_S) as harness:
            harness.cold_ms_by_name = {"s0-a": 60_000.0}
            await harness.publish(harness.services)
            outcome = await harness.send(harness.single_route())

            assert isinstance(outcome, Err)
            assert 10_000.0 <= (outcome.err_value.retry_after_ms or 0.0) <= 15_000.0

    async def test_a_cold_endpoint_that_is_evacuated_gives_no_time_to_come_back(self) -> None:
        """Guards against callers that come back for an endpoint that gets nothing then either."""
        async with forward_harness(services=1, replicas="a", cold_per_s=1.0) as harness:
            await asyncio.sleep(LEARNING_S)
            harness.cold_ms_by_name = {"s0-a": 5_000.0}
            await harness.publish(harness.services)
            await harness.send(harness.single_route())
            harness.listed.set_evacuated(["milano"])
            await harness.publish(harness.services)
            outcome = await harness.send(harness.single_route())

            assert isinstance(outcome, Err)
            assert outcome.err_value.code is Code.DATA_CENTRE_EVACUATED
            assert outcome.err_value.retry_after_ms is None

    async def test_it_is_cold_for_a_time_after_an_evacuation(self) -> None:
        """Guards against a data centre whose endpoints have cooled and get all their load back."""
        async with forward_harness(services=1, replicas="a", cold_per_s=COLD_PER_S) as harness:
            harness.listed.set_evacuated(["milano"])
            await harness.publish(harness.services)
            await asyncio.sleep(LEARNING_S)
            harness.listed.set_evacuated([])
            await harness.publish(harness.services)
            cold = await received_in_a_second(harness, "s0-a")
            await asyncio.sleep(3.0)
            await harness.publish(harness.services)

            assert cold == 9
            assert await received_in_a_second(harness, "s0-a") == REQUESTS
            changes = [line.change for line in harness.pool.audit.lines]
            assert changes == ["evacuated", "evacuation ended", "cold", "warm"]

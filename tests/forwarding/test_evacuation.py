"""Nothing is sent to an evacuated data centre, while work in flight there is finished."""

import asyncio

import pytest
from result import Err, Ok

from forward_harness import ForwardHarness, forward_harness
from radishmount.codes import Code, RunStatus


pytestmark = pytest.mark.looptime

REQUESTS = 60


async def evacuate(harness: ForwardHarness, *data_centres: str) -> None:
    """Evacuate `data_centres`, and no others."""
    harness.listed.set_evacuated(data_centres)
    await harness.publish(harness.services)


class TestEvacuatedDataCentre:
    """The load is that of calm: each service has endpoints in two data centres."""

    async def test_its_endpoints_get_nothing_new_and_finish_what_they_have(self) -> None:
        """Guards against hedges, retries and queues that go on where first attempts do not."""
        async with forward_harness(services=1, data_centre_by_replica={"a": "torino"}) as harness:
            evacuated = harness.endpoints_by_name["s0-a"]
            for endpoint in harness.endpoints_of("s0"):
                endpoint.service_ms = 300.0
            route = harness.single_route(target_latency_ms=100.0, max_attempts=3)
            requests = [asyncio.create_task(harness.send(route)) for _ in range(REQUESTS)]
            await asyncio.sleep(0.01)
            received = list(evacuated.received_ids)
            await evacuate(harness, "torino")
            requests += [asyncio.create_task(harness.send(route)) for _ in range(REQUESTS)]
            outcomes = await asyncio.gather(*requests)

            assert received and evacuated.received_ids == evacuated.ran_ids == received
            assert not evacuated.cancelled_ids
            assert not harness.counters.value("attempt_failures", "DATA_CENTRE_EVACUATED")
            assert all(isinstance(outcome, Ok) for outcome in outcomes)

    async def test_attempts_that_wait_for_a_connection_go_elsewhere(self) -> None:
        """Guards against a queue that is sent once a connection is free."""
        async with forward_harness(services=1, data_centre_by_replica={"a": "torino"}) as harness:
            harness.use_all_services()
            evacuated = harness.endpoints_by_name["s0-a"]
            harness.pool.connection_pools_by_name["s0-a"].set_connection_limit(1)
            evacuated.service_ms = 300.0
            route = harness.single_route(idempotent=False)
            requests = [asyncio.create_task(harness.send(route)) for _ in range(REQUESTS)]
            await asyncio.sleep(0.01)
            queued = len(harness.pool.connection_pools_by_name["s0-a"].queue)
            await evacuate(harness, "torino")
            outcomes = await asyncio.gather(*requests)

            assert queued and len(evacuated.received_ids) == 1
            assert all(isinstance(outcome, Ok) for outcome in outcomes)

    async def test_a_request_that_only_it_could_take_is_refused_as_not_run(self) -> None:
        """Also where the service is used for the first time."""
        async with forward_harness(services=1) as harness:
            await evacuate(harness, "milano")
            outcome = await harness.send(harness.single_route())

            assert isinstance(outcome, Err)
            assert outcome.err_value.code is Code.DATA_CENTRE_EVACUATED
            assert outcome.err_value.ran is RunStatus.NOT_RUN
            assert not any(endpoint.received_ids for endpoint in harness.endpoints_of("s0"))

    async def test_the_load_returns_slowly_after_its_end(self) -> None:
        """Guards against cold endpoints that get their full load at once."""
        async with forward_harness(services=1, data_centre_by_replica={"a": "torino"}) as harness:
            await evacuate(harness, "torino")
            await asyncio.sleep(20.0)
            await evacuate(harness)
            endpoint = harness.pool.connection_pools_by_name
            harness.use_all_services()

            assert endpoint["s0-a"].endpoint.available_since_ms == harness.clock.now_ms()
            assert endpoint["s0-b"].endpoint.available_since_ms < harness.clock.now_ms()
            lines = [(line.subject, line.change) for line in harness.pool.audit.lines]
            assert lines == [
                ("data-centre/torino", "evacuated"),
                ("data-centre/torino", "evacuation ended"),
            ]

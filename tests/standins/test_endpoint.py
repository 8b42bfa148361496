"""Tests of the endpoint stand-in: what it records, and each fault that can be configured."""

import asyncio
from collections.abc import AsyncIterator
from random import Random
from typing import Any

import aiohttp
import pytest

from radishmount.publication import KeyRange, Shard
from radishmount.standins import EndpointBehaviour, EndpointStandIn, serve_stand_in


SHARDS = {
    "shard-1": Shard("shard-1", "catalogue", "catalogue", KeyRange("", "5"), until=2),
    "shard-9": Shard("shard-9", "catalogue", "elsewhere", KeyRange("5", None)),
}
CONNECTION_CAP = 3


class EndpointHarness:
    """One endpoint stand-in, served on loopback, and an HTTP client of it."""

    def __init__(self, endpoint: EndpointStandIn, http: aiohttp.ClientSession) -> None:
        self.endpoint = endpoint
        self.http = http

    async def search(self, **fields: Any) -> dict[str, Any]:
        body = {
            "request_id": "q1",
            "attempt": 1,
            "shard": "shard-1",
            "index_version": 1,
            "deadline_ms": 500.0,
            "text": "washi",
            "limit": 10,
            "keys": {"from": "", "to": None},
            **fields,
        }
        async with self.http.post(self.url("/v1/search"), json=body) as response:
            return await response.json()

    async def cancel(self, attempt: int) -> dict[str, Any]:
        body = {"request_id": "q1", "attempt": attempt}
        async with self.http.post(self.url("/v1/cancel"), json=body) as response:
            return await response.json()

    def url(self, path: str) -> str:
        assert self.endpoint.server is not None
        return f"http://{self.endpoint.server.address}{path}"

    async def wait_until(self, condition: Any) -> None:
        while not condition():
            await asyncio.sleep(0.001)


@pytest.fixture
async def harness() -> AsyncIterator[EndpointHarness]:
    endpoint = EndpointStandIn(
        "catalogue-a", 1, {1, 2}, Random(1), service="catalogue", shards_by_name=SHARDS
    )
    endpoint.server = await serve_stand_in(endpoint.app(), connection_cap=CONNECTION_CAP)
    async with aiohttp.ClientSession() as http:
        yield EndpointHarness(endpoint, http)
    endpoint.behaviour.silent = False
    endpoint.behaviour.silent_before_ms = None
    await endpoint.server.stop()


class TestEndpointStandIn:
    """The endpoint stand-in records each request and behaves as configured."""

    async def test_rows_name_their_origin(self, harness: EndpointHarness) -> None:
        reply = await harness.search()

        assert reply["outcome"] == "ok"
        assert reply["rows"][0][2] == {
            "v": 1,
            "endpoint": "catalogue-a",
            "request_id": "q1",
            "attempt": 1,
            "text": "washi",
            "from": "",
            "to": "5",
        }
        assert [(r.outcome, r.ran) for r in harness.endpoint.records] == [("ok", True)]

    @pytest.mark.parametrize(
        ("behaviour", "fields", "outcome"),
        [
            ({"draining": True}, {}, "draining"),
            ({"shedding": True}, {}, "shed"),
            ({}, {"index_version": 7}, "version"),
            ({}, {"index_version": 2}, "error"),
            ({}, {"shard": "shard-9"}, "error"),
            ({}, {"deadline_ms": 0.0}, "deadline"),
        ],
    )
    async def test_a_refused_search_does_not_run(
        self,
        harness: EndpointHarness,
        behaviour: dict[str, bool],
        fields: dict[str, Any],
        outcome: str,
    ) -> None:
        for name, value in behaviour.items():
            setattr(harness.endpoint.behaviour, name, value)

        reply = await harness.search(**fields)

        assert (reply["outcome"], reply["ran"]) == (outcome, False)
        assert [record.ran for record in harness.endpoint.records] == [False]

    async def test_cancelling_frees_the_slot(self, harness: EndpointHarness) -> None:
        harness.endpoint.behaviour.service_ms = 60_000.0
        running = asyncio.create_task(harness.search(attempt=1))
        await harness.wait_until(lambda: harness.endpoint.in_flight == 1)

        assert await harness.cancel(attempt=1) == {"cancelled": True}
        assert (await running)["detail"] == "cancelled"
        assert harness.endpoint.in_flight == 0
        assert harness.endpoint.records[0].outcome == "cancelled"

    async def test_a_closed_connection_frees_the_slot(self, harness: EndpointHarness) -> None:
        harness.endpoint.behaviour.service_ms = 60_000.0
        running = asyncio.create_task(harness.search())
        await harness.wait_until(lambda: harness.endpoint.in_flight == 1)

        running.cancel()
        await harness.wait_until(lambda: harness.endpoint.records[0].outcome != "open")

        assert harness.endpoint.in_flight == 0
        assert harness.endpoint.records[0].outcome == "cancelled"

    async def test_work_whose_deadline_passed_in_the_queue_does_not_run(
        self, harness: EndpointHarness
    ) -> None:
        harness.endpoint.behaviour.service_ms = 60_000.0
        first = asyncio.create_task(harness.search(attempt=1))
        await harness.wait_until(lambda: harness.endpoint.in_flight == 1)
        second = asyncio.create_task(harness.search(attempt=2, deadline_ms=1.0))
        await harness.wait_until(lambda: harness.endpoint.queued == 1)
        await asyncio.sleep(0.005)
        await harness.cancel(attempt=1)

        assert (await second)["outcome"] == "deadline"
        assert harness.endpoint.records[1].ran is False
        await first

    async def test_a_silent_connection_stays_silent_while_new_ones_work(
        self, harness: EndpointHarness
    ) -> None:
        await harness.search()
        harness.endpoint.behaviour.silent_before_ms = harness.endpoint.now_ms()
        held = asyncio.create_task(harness.search(attempt=2))
        await asyncio.sleep(0.01)

        reply = await harness.search(attempt=3)

        assert reply["outcome"] == "ok"
        assert not held.done()
        assert [record.attempt for record in harness.endpoint.records] == [1, 3]
        held.cancel()

    async def test_counts_connections_beyond_the_cap(self, harness: EndpointHarness) -> None:
        assert harness.endpoint.server is not None
        address = harness.endpoint.server.address
        streams = [
            await asyncio.open_connection(address.host, address.port)
            for _ in range(CONNECTION_CAP + 1)
        ]
        await harness.wait_until(lambda: harness.endpoint.server.over_cap == 1)  # type: ignore[union-attr]

        assert harness.endpoint.server.peak_connections == CONNECTION_CAP + 1
        for _, writer in streams:
            writer.close()

    async def test_a_killed_endpoint_restarts_on_the_same_address(
        self, harness: EndpointHarness
    ) -> None:
        assert harness.endpoint.server is not None
        await harness.search()
        await harness.endpoint.server.kill()
        with pytest.raises(aiohttp.ClientError):
            await harness.search(attempt=2)

        await harness.endpoint.server.restart()

        assert (await harness.search(attempt=3))["outcome"] == "ok"

    async def test_records_since_when_it_has_been_leaving(self, harness: EndpointHarness) -> None:
        harness.endpoint.behaviour.leaving_since_ms = 5.0

        await harness.search()

        assert harness.endpoint.records[0].leaving_since_ms == 5.0

    async def test_reports_a_false_load_when_configured_to(self, harness: EndpointHarness) -> None:
        harness.endpoint.behaviour.reported_in_flight = 0
        harness.endpoint.in_flight = 7

        assert (await harness.search())["load"]["in_flight"] == 0


class TestEndpointBehaviour:
    """The service time that the behaviour draws."""

    def test_work_gets_faster_after_a_cold_start(self) -> None:
        behaviour = EndpointBehaviour(cold_factor=11.0, cold_from_ms=0.0, cold_until_ms=1_000.0)
        times = [behaviour.work_ms(now_ms, Random(1)) for now_ms in (0.0, 500.0, 1_000.0)]

        assert times == pytest.approx([times[2] * 11.0, times[2] * 6.0, times[2]])

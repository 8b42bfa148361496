"""Tests of what operators are served of an instance on the platform, over loopback."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import orjson
import pytest

from platform_harness import FREE, PlatformHarness, single_route, start_platform_harness
from radishmount.border import RequestMetrics, Server, make_operator_app, serve
from radishmount.standins import SeenRequest


def silent(request: SeenRequest, name: str) -> None:
    """Answer nothing."""


@dataclass
class Operators:
    """An instance and what it serves to operators."""

    world: PlatformHarness
    server: Server

    async def get(self, path: str) -> tuple[int, bytes]:
        """Ask as an operator."""
        async with self.world.http.get(f"http://{self.server.address}{path}") as response:
            return response.status, await response.read()


@pytest.fixture
async def operators() -> AsyncIterator[Operators]:
    """An instance that knows no configuration yet, and its operators' address."""
    world = await start_platform_harness()
    metrics = RequestMetrics()
    gateway = world.instance.gateway
    gateway.forward_context.observe = metrics.observe
    server = (await serve(make_operator_app(gateway, metrics), FREE)).unwrap()
    yield Operators(world, server)
    server.abort()
    await world.stop()


class TestExplain:
    """The record of a failed request tells its cause."""

    async def test_a_request_that_no_route_takes(self, operators: Operators) -> None:
        await operators.world.publish(3, single_route())
        await operators.world.ask("/nowhere/1", request_id="lost")

        status, body = await operators.get("/explain/lost")
        record = orjson.loads(body)

        assert status == 200
        assert record["code"]["name"] == "UNKNOWN_ROUTE"
        assert record["version"] == 3

    async def test_a_request_that_an_endpoint_did_not_answer(self, operators: Operators) -> None:
        await operators.world.add("orders", "b1", answer=silent)
        await operators.world.publish(3, single_route(timeoutMs=100))
        await operators.world.ask("/orders/1", request_id="slow")

        record = orjson.loads((await operators.get("/explain/slow"))[1])

        assert record["code"]["name"] == "TIMED_OUT"
        assert [attempt["endpoint"] for attempt in record["attempts"]] == ["b1"]
        assert record["attempts"][0]["sent_after_ms"] is not None
        assert record["attempts"][0]["ended_after_ms"] is None

    async def test_a_request_that_is_not_known(self, operators: Operators) -> None:
        assert (await operators.get("/explain/other"))[0] == 404


class TestMetrics:
    """Counters and latencies by route and outcome."""

    async def test_requests_are_counted_by_route_and_outcome(self, operators: Operators) -> None:
        await operators.world.add("orders", "b1")
        await operators.world.publish(3, single_route())
        await operators.world.ask("/orders/1")

        text = (await operators.get("/metrics"))[1].decode()

        assert 'radishmount_requests_total{label="answered"} 1' in text
        assert 'radishmount_request_ms_count{code="answered",path="r-single"} 1' in text
        assert "radishmount_publication_version 3" in text

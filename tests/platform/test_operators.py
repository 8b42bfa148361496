"""Tests of the operator server of an instance on the platform, over loopback."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import orjson
import pytest

from platform_harness import FREE_ADDRESS, PlatformHarness, single_route, start_platform_harness
from radishmount.border import RequestMetrics, Server, make_operator_app, serve
from radishmount.standins import ReceivedRequest


def never_respond(request: ReceivedRequest, name: str) -> None:
    """Send no response."""


@dataclass
class Operators:
    """An instance and its operator server."""

    harness: PlatformHarness
    server: Server

    async def get(self, path: str) -> tuple[int, bytes]:
        """Request `path` from the operator server; return status and body."""
        async with self.harness.http.get(f"http://{self.server.address}{path}") as response:
            return response.status, await response.read()


@pytest.fixture
async def operators() -> AsyncIterator[Operators]:
    """Yield an instance that has no configuration yet, with an operator server."""
    harness = await start_platform_harness()
    metrics = RequestMetrics()
    gateway = harness.instance.gateway
    gateway.forward_context.observe = metrics.observe
    server = (await serve(make_operator_app(gateway, metrics), FREE_ADDRESS)).unwrap()
    yield Operators(harness, server)
    server.abort()
    await harness.stop()


class TestExplain:
    """The record of a failed request shows the cause."""

    async def test_a_request_that_matches_no_route(self, operators: Operators) -> None:
        await operators.harness.publish(3, single_route())
        await operators.harness.send_request("/nowhere/1", request_id="lost")

        status, body = await operators.get("/explain/lost")
        record = orjson.loads(body)

        assert status == 200
        assert record["code"]["name"] == "UNKNOWN_ROUTE"
        assert record["version"] == 3

    async def test_a_request_that_an_endpoint_did_not_answer(self, operators: Operators) -> None:
        await operators.harness.add_back_end("orders", "b1", answer=never_respond)
        await operators.harness.publish(3, single_route(timeoutMs=100))
        await operators.harness.send_request("/orders/1", request_id="slow")

        record = orjson.loads((await operators.get("/explain/slow"))[1])

        assert record["code"]["name"] == "TIMED_OUT"
        assert [attempt["endpoint"] for attempt in record["attempts"]] == ["b1"]
        assert record["attempts"][0]["sent_after_ms"] is not None
        assert record["attempts"][0]["ended_after_ms"] is None

    async def test_an_unknown_request_is_404(self, operators: Operators) -> None:
        assert (await operators.get("/explain/other"))[0] == 404


class TestMetrics:
    """Metrics count requests by route and outcome."""

    async def test_requests_are_counted_by_route_and_outcome(self, operators: Operators) -> None:
        await operators.harness.add_back_end("orders", "b1")
        await operators.harness.publish(3, single_route())
        await operators.harness.send_request("/orders/1")

        text = (await operators.get("/metrics"))[1].decode()

        assert 'radishmount_requests_total{label="answered"} 1' in text
        assert 'radishmount_request_ms_count{code="answered",path="r-single"} 1' in text
        assert "radishmount_publication_version 3" in text

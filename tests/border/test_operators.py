"""Tests of the HTTP API for operators, with a fake instance behind it."""

from typing import Any

import aiohttp
import pytest

from fake_service import FakeService, operator_app, serve_fake
from radishmount.codes import Code
from radishmount.queries import AttemptRecord, SearchRecord, SearchVerdict


async def get(service: FakeService, path: str, method: str = "GET") -> tuple[int, Any]:
    async with (
        serve_fake(service, operator_app) as address,
        aiohttp.ClientSession() as http,
        http.request(method, f"http://{address}{path}") as response,
    ):
        if response.content_type == "application/json":
            return response.status, await response.json()
        return response.status, await response.text()


class TestOperators:
    """Operators can read the state of an instance, and change nothing."""

    async def test_health_and_readiness_are_reported(self) -> None:
        assert await get(FakeService(), "/health") == (200, {"alive": True})
        assert await get(FakeService(), "/ready") == (200, {"ready": True})
        assert await get(FakeService(ready=False), "/ready") == (503, {"ready": False})
        assert await get(FakeService(leaving=True), "/ready") == (503, {"ready": False})

    async def test_audit_lines_are_filtered_by_subject_and_sequence(self) -> None:
        service = FakeService()
        for subject in ("publication", "endpoint/a", "endpoint/b", "endpoints"):
            service.audit.record(subject, "changed", cause="test")

        _, whole = await get(service, "/audit")
        _, some = await get(service, "/audit?subject=endpoint&since=2")

        assert [line["sequence"] for line in whole["lines"]] == [1, 2, 3, 4]
        assert [line["subject"] for line in some["lines"]] == ["endpoint/b"]
        assert some["last_sequence"] == 4

    async def test_an_invalid_filter_is_refused(self) -> None:
        status, content = await get(FakeService(), "/audit?since=yesterday")

        assert status == 400
        assert content["error"]["name"] == "BAD_FIELD"

    async def test_the_record_of_a_request_is_returned(self) -> None:
        attempt = AttemptRecord(1, "first", "shard-1", "one-a", 1, 0.0, 8.0, "TIMED_OUT")
        service = FakeService(
            record=SearchRecord(
                request_id="r1",
                caller="workshop",
                target="catalogue",
                verdict=SearchVerdict.REFUSED,
                at_ms=0.0,
                took_ms=9.0,
                deadline_ms=10.0,
                attempts=(attempt,),
                code=Code.NO_SNAPSHOT,
            )
        )

        _, content = await get(service, "/explain/r1")

        assert content["code"] == {"number": 3010, "name": "NO_SNAPSHOT"}
        assert content["attempts"][0]["result"] == "TIMED_OUT"

    async def test_a_request_without_a_record_is_unknown(self) -> None:
        status, content = await get(FakeService(), "/explain/r1")

        assert status == 404
        assert content["error"]["name"] == "UNKNOWN_REQUEST"

    async def test_metrics_are_in_the_prometheus_text_format(self) -> None:
        service = FakeService()
        service.counters.add("sub_requests", "hedge", 3)

        _, text = await get(service, "/metrics")

        assert 'radishmount_sub_requests_total{label="hedge"} 3' in text
        assert "radishmount_publication_version 7" in text
        assert "# TYPE radishmount_request_ms histogram" in text

    @pytest.mark.parametrize("path", ["/health", "/status", "/audit", "/explain/r1", "/metrics"])
    async def test_nothing_can_be_changed(self, path: str) -> None:
        for method in ("POST", "PUT", "DELETE", "PATCH"):
            status, _ = await get(FakeService(), path, method)
            assert status == 405

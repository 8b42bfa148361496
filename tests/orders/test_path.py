"""Orders from the caller's HTTP request to an endpoint, over real loopback connections."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from support import EntryHarness, start_entry_harness


@pytest.fixture
async def harness() -> AsyncIterator[EntryHarness]:
    """One instance, and a caller that may order from a service with two endpoints."""
    running = await start_entry_harness(orders=True)
    yield running
    await running.stop()


async def post(
    harness: EntryHarness,
    path: str = "/v1/orders",
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> tuple[int, dict[str, Any]]:
    body = {"caller": "workshop", "service": "order-booking", "order": {"bales": 2}, **fields}
    async with harness.http.post(harness.url(path), json=body, headers=headers) as response:
        return response.status, await response.json()


def runs(harness: EntryHarness) -> int:
    return sum(
        record.ran
        for stand_in in harness.endpoints_by_name.values()
        for record in stand_in.orders.records
    )


class TestOrderPath:
    """One order from the caller's HTTP request to an endpoint and back."""

    async def test_runs_once_and_answers_that_it_ran(self, harness: EntryHarness) -> None:
        status, content = await post(harness)

        assert (status, content["ran"]) == (200, "ran")
        assert content["result"]["confirmed_by"].startswith("order-booking-")
        assert runs(harness) == 1

    async def test_order_for_an_unknown_service_does_not_run(self, harness: EntryHarness) -> None:
        status, content = await post(harness, service="engraving")

        assert (status, content["error"]["name"], content["ran"]) == (
            404,
            "UNKNOWN_SERVICE",
            "not-run",
        )

    async def test_repeat_under_a_ticket_replays_the_outcome(self, harness: EntryHarness) -> None:
        body = {"caller": "workshop", "service": "order-booking"}
        async with harness.http.post(harness.url("/v1/tickets"), json=body) as response:
            ticket = (await response.json())["ticket"]
        _, first = await post(harness, ticket=ticket)
        _, second = await post(harness, ticket=ticket)

        assert (first["ran"], first["replayed"]) == ("ran", False)
        assert (second["ran"], second["replayed"]) == ("ran", True)
        assert second["result"] == first["result"]
        assert runs(harness) == 1

    async def test_order_refused_before_its_body_is_retried_at_another_endpoint(
        self, harness: EntryHarness
    ) -> None:
        for name in ("order-booking-0", "order-booking-1"):
            behaviour = harness.endpoints_by_name[name].orders.behaviour
            behaviour.refuse_before_body = True
            for _ in range(4):
                _, content = await post(harness)
                assert content["ran"] == "ran"
            behaviour.refuse_before_body = False

        assert runs(harness) == 8

    async def test_order_is_retried_when_an_endpoint_is_silent_before_its_body(
        self, harness: EntryHarness
    ) -> None:
        for name in ("order-booking-0", "order-booking-1"):
            behaviour = harness.endpoints_by_name[name].orders.behaviour
            behaviour.silent_before_body = True
            _, content = await post(harness)
            assert content["ran"] == "ran"
            behaviour.silent_before_body = False

        assert runs(harness) == 2

    async def test_order_that_every_endpoint_refuses_does_not_run(
        self, harness: EntryHarness
    ) -> None:
        for name in ("order-booking-0", "order-booking-1"):
            harness.endpoints_by_name[name].orders.behaviour.refuse_before_body = True
        _, content = await post(harness)

        assert content["ran"] == "not-run"
        assert runs(harness) == 0

    async def test_lost_reply_leaves_the_outcome_unknown_without_a_retry(
        self, harness: EntryHarness
    ) -> None:
        for name in ("order-booking-0", "order-booking-1"):
            harness.endpoints_by_name[name].orders.behaviour.lose_reply = True
        status, content = await post(harness, deadline_ms=200.0)

        assert (status, content["error"]["name"], content["ran"]) == (
            504,
            "OUTCOME_UNKNOWN",
            "unknown",
        )
        assert runs(harness) == 1

    async def test_caller_that_disconnects_finds_the_outcome_later(
        self, harness: EntryHarness
    ) -> None:
        body = {"caller": "workshop", "service": "order-booking"}
        async with harness.http.post(harness.url("/v1/tickets"), json=body) as response:
            ticket = (await response.json())["ticket"]
        for name in ("order-booking-0", "order-booking-1"):
            harness.endpoints_by_name[name].behaviour.service_ms = 100.0
        leaving = asyncio.create_task(post(harness, ticket=ticket))
        while not runs(harness):
            await asyncio.sleep(0.005)
        leaving.cancel()
        url = harness.url(f"/v1/tickets/{ticket}?caller=workshop")
        async with harness.http.get(url) as response:
            content = await response.json()

        assert (content["ran"], content["replayed"]) == ("ran", True)
        assert runs(harness) == 1

    async def test_order_under_a_void_ticket_is_refused(self, harness: EntryHarness) -> None:
        body = {"caller": "workshop", "service": "order-booking"}
        async with harness.http.post(harness.url("/v1/tickets"), json=body) as response:
            ticket = (await response.json())["ticket"]
        async with harness.http.delete(
            harness.url(f"/v1/tickets/{ticket}?caller=workshop")
        ) as response:
            assert (await response.json())["ran"] == "not-run"
        _, content = await post(harness, ticket=ticket)

        assert (content["error"]["name"], content["ran"]) == ("TICKET_VOID", "not-run")
        assert runs(harness) == 0

    async def test_graceful_stop_finishes_an_order_in_flight(self, harness: EntryHarness) -> None:
        for name in ("order-booking-0", "order-booking-1"):
            harness.endpoints_by_name[name].behaviour.service_ms = 100.0
        in_flight = asyncio.create_task(post(harness))
        while not runs(harness):
            await asyncio.sleep(0.005)
        await harness.entry.stop()
        _, content = await in_flight

        assert content["ran"] == "ran"
        assert runs(harness) == 1

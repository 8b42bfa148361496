"""The whole path of an order, over real loopback connections."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from support import Session, start_session


@pytest.fixture
async def shop() -> AsyncIterator[Session]:
    """One entry whose caller may order from a service of two endpoints."""
    running = await start_session(orders=True)
    yield running
    await running.stop()


async def post(
    shop: Session, path: str = "/v1/orders", headers: dict[str, str] | None = None, **fields: Any
) -> tuple[int, dict[str, Any]]:
    body = {"caller": "workshop", "service": "order-booking", "order": {"bales": 2}, **fields}
    async with shop.http.post(shop.url(path), json=body, headers=headers) as response:
        return response.status, await response.json()


def runs(shop: Session) -> int:
    return sum(
        record.ran
        for stand_in in shop.endpoints_by_name.values()
        for record in stand_in.orders.records
    )


class TestOrderPath:
    """One order from the caller's HTTP to an endpoint and back."""

    async def test_runs_once_and_says_so(self, shop: Session) -> None:
        status, content = await post(shop)

        assert (status, content["ran"]) == (200, "ran")
        assert content["result"]["confirmed_by"].startswith("order-booking-")
        assert runs(shop) == 1

    async def test_unknown_service_is_not_run(self, shop: Session) -> None:
        status, content = await post(shop, service="engraving")

        assert (status, content["error"]["name"], content["ran"]) == (
            404,
            "UNKNOWN_SERVICE",
            "not-run",
        )

    async def test_repeat_under_a_ticket_replays_the_outcome(self, shop: Session) -> None:
        body = {"caller": "workshop", "service": "order-booking"}
        async with shop.http.post(shop.url("/v1/tickets"), json=body) as response:
            ticket = (await response.json())["ticket"]
        _, first = await post(shop, ticket=ticket)
        _, second = await post(shop, ticket=ticket)

        assert (first["ran"], first["replayed"]) == ("ran", False)
        assert (second["ran"], second["replayed"]) == ("ran", True)
        assert second["result"] == first["result"]
        assert runs(shop) == 1

    async def test_refused_before_the_body_goes_elsewhere(self, shop: Session) -> None:
        for name in ("order-booking-0", "order-booking-1"):
            behaviour = shop.endpoints_by_name[name].orders.behaviour
            behaviour.refuse_before_body = True
            for _ in range(4):
                _, content = await post(shop)
                assert content["ran"] == "ran"
            behaviour.refuse_before_body = False

        assert runs(shop) == 8

    async def test_silent_before_the_body_goes_elsewhere(self, shop: Session) -> None:
        for name in ("order-booking-0", "order-booking-1"):
            behaviour = shop.endpoints_by_name[name].orders.behaviour
            behaviour.silent_before_body = True
            _, content = await post(shop)
            assert content["ran"] == "ran"
            behaviour.silent_before_body = False

        assert runs(shop) == 2

    async def test_nowhere_is_not_run(self, shop: Session) -> None:
        for name in ("order-booking-0", "order-booking-1"):
            shop.endpoints_by_name[name].orders.behaviour.refuse_before_body = True
        _, content = await post(shop)

        assert content["ran"] == "not-run"
        assert runs(shop) == 0

    async def test_lost_reply_is_unknown_and_no_retry(self, shop: Session) -> None:
        for name in ("order-booking-0", "order-booking-1"):
            shop.endpoints_by_name[name].orders.behaviour.lose_reply = True
        status, content = await post(shop, deadline_ms=200.0)

        assert (status, content["error"]["name"], content["ran"]) == (
            504,
            "OUTCOME_UNKNOWN",
            "unknown",
        )
        assert runs(shop) == 1

    async def test_caller_that_goes_away_finds_the_outcome(self, shop: Session) -> None:
        body = {"caller": "workshop", "service": "order-booking"}
        async with shop.http.post(shop.url("/v1/tickets"), json=body) as response:
            ticket = (await response.json())["ticket"]
        for name in ("order-booking-0", "order-booking-1"):
            shop.endpoints_by_name[name].behaviour.service_ms = 100.0
        leaving = asyncio.create_task(post(shop, ticket=ticket))
        while not runs(shop):
            await asyncio.sleep(0.005)
        leaving.cancel()
        url = shop.url(f"/v1/tickets/{ticket}?caller=workshop")
        async with shop.http.get(url) as response:
            content = await response.json()

        assert (content["ran"], content["replayed"]) == ("ran", True)
        assert runs(shop) == 1

    async def test_void_ticket_carries_no_order(self, shop: Session) -> None:
        body = {"caller": "workshop", "service": "order-booking"}
        async with shop.http.post(shop.url("/v1/tickets"), json=body) as response:
            ticket = (await response.json())["ticket"]
        async with shop.http.delete(shop.url(f"/v1/tickets/{ticket}?caller=workshop")) as response:
            assert (await response.json())["ran"] == "not-run"
        _, content = await post(shop, ticket=ticket)

        assert (content["error"]["name"], content["ran"]) == ("TICKET_VOID", "not-run")
        assert runs(shop) == 0

    async def test_graceful_stop_finishes_an_order_in_flight(self, shop: Session) -> None:
        for name in ("order-booking-0", "order-booking-1"):
            shop.endpoints_by_name[name].behaviour.service_ms = 100.0
        in_flight = asyncio.create_task(post(shop))
        while not runs(shop):
            await asyncio.sleep(0.005)
        await shop.entry.stop()
        _, content = await in_flight

        assert content["ran"] == "ran"
        assert runs(shop) == 1

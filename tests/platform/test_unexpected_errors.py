"""An unexpected error, planted in one part of an instance after the other, ends nothing else."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from inspect import iscoroutinefunction
from typing import Any

import aiohttp
import pytest

from platform_harness import HOST, PlatformHarness, single_route, start_platform_harness
from radishmount.discovery import StoreFollower
from radishmount.endpoints import EndpointPool
from radishmount.endpoints._connection_pool import ConnectionPool
from radishmount.fleet import Freshness, SlowEndpointGossip
from radishmount.gateway import Gateway
from radishmount.logs import RequestLog
from radishmount.platform import BackendChannel
from radishmount.platform._store_client import HttpStoreClient
from radishmount.queries import ExplainLog


PARTS = [
    (Gateway, "handle"),
    (Gateway, "addresses"),
    (Gateway, "is_ready"),
    (Gateway, "update_endpoints"),
    (Gateway, "_announce_load"),
    (EndpointPool, "submit"),
    (EndpointPool, "apply_publication"),
    (ConnectionPool, "_exchange"),
    (ConnectionPool, "_next_step"),
    (BackendChannel, "exchange"),
    (BackendChannel, "close"),
    (StoreFollower, "_apply"),
    (StoreFollower, "_call_store"),
    (HttpStoreClient, "watch"),
    (SlowEndpointGossip, "_check"),
    (Freshness, "_tick"),
    (ExplainLog, "add"),
    (RequestLog, "write"),
]


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield an instance that has no configuration yet."""
    started = await start_platform_harness()
    yield started
    await started.stop()


class PlantedError(Exception):
    """An error that no part of the program expects."""


def plant_error(monkeypatch: pytest.MonkeyPatch, part: type, name: str) -> list[PlantedError]:
    """Have the next call of a method raise; later calls run as usual. Return the errors raised."""
    original: Callable[..., Any] = getattr(part, name)
    raised: list[PlantedError] = []

    def raise_once() -> None:
        if not raised:
            raised.append(PlantedError(name))
            raise raised[0]

    async def call_async(*args: Any, **fields: Any) -> Any:
        raise_once()
        return await original(*args, **fields)

    def call(*args: Any, **fields: Any) -> Any:
        raise_once()
        return original(*args, **fields)

    monkeypatch.setattr(part, name, call_async if iscoroutinefunction(original) else call)
    return raised


async def status_of(request: Awaitable[tuple[Any, ...]]) -> int:
    """Return the status of a response, 0 if the connection ended without one."""
    try:
        return int((await request)[0])
    except aiohttp.ClientError:
        return 0


class TestUnexpectedErrors:
    """One unexpected error took a whole process down, or ended a part of it for good."""

    @pytest.mark.parametrize(
        ("part", "name"), PARTS, ids=lambda value: getattr(value, "__name__", value)
    )
    async def test_requests_and_changes_of_the_store_go_on(
        self,
        harness: PlatformHarness,
        monkeypatch: pytest.MonkeyPatch,
        part: type,
        name: str,
    ) -> None:
        await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())
        assert (await harness.send_request("/orders/7"))[0] == 200
        raised = plant_error(monkeypatch, part, name)
        resolve = f"/-/resolve?name={HOST}&region=r&zone=z1"
        statuses: list[int] = []
        for _ in range(3):
            statuses.append(await status_of(harness.send_request("/orders/7")))
            statuses.append(await status_of(harness.get(1, "/-/readiness")))
            statuses.append(await status_of(harness.get(2, resolve)))
        assert len([status for status in statuses if status != 200]) <= 1, statuses
        await harness.store.put("op/other", b"x")
        await asyncio.sleep(0.3)

        async with asyncio.timeout(15.0):
            await harness.publish(4, single_route(), single_route(name="r-2", prefix="/later/"))
            await harness.add_back_end("orders", "b2")
            while not await self._is_whole(harness, resolve):
                await asyncio.sleep(0.1)
        assert raised

    async def _is_whole(self, harness: PlatformHarness, resolve: str) -> bool:
        """Return whether old and new routes, readiness and the directory all answer."""
        answers = [
            await status_of(harness.send_request("/orders/7")),
            await status_of(harness.send_request("/later/7")),
            await status_of(harness.get(1, "/-/readiness")),
            await status_of(harness.get(2, resolve)),
        ]
        endpoints = harness.instance.gateway.pool.endpoints_of("orders")
        return answers == [200] * 4 and {e.name for e in endpoints} == {"b1", "b2"}

"""A small stand-in of an endpoint: slots, a queue, latency, and the faults that it is told."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import Any

import orjson
from aiohttp import web

from radishmount.standins._orders import OrderStandIn


__all__ = ["EndpointBehaviour", "EndpointRecord", "EndpointStandIn"]


@dataclass(slots=True)
class EndpointBehaviour:
    """What the stand-in does wrong, and how long work takes. All may change while it runs."""

    service_ms: float = 2.0
    slow_ratio: float = 0.0
    slow_ms: float = 0.0
    silent: bool = False
    shedding: bool = False
    draining: bool = False
    reported_in_flight: int | None = None


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """One request that reached the stand-in, as it happened there."""

    at_s: float
    request_id: str
    attempt: int
    shard: str
    index_version: int
    outcome: str
    draining: bool


@dataclass(slots=True)
class EndpointStandIn:
    """Serves the endpoint protocol over rows made from shard, version and key."""

    name: str
    slots: int
    versions: set[int]
    random: Random
    behaviour: EndpointBehaviour = field(default_factory=EndpointBehaviour)
    records: list[EndpointRecord] = field(default_factory=list)
    orders: OrderStandIn = field(default_factory=OrderStandIn)
    in_flight: int = 0
    queued: int = 0
    slot_free: asyncio.Semaphore = field(init=False)
    rows_of: Callable[[str, int, dict[str, Any]], list[Any]] = field(
        default=lambda shard, version, body: [
            [f"{body['keys']['from']}{shard}-{n}", 1.0 / (n + 1), {"v": version}] for n in range(3)
        ]
    )

    def __post_init__(self) -> None:
        """Give the stand-in its slots."""
        self.slot_free = asyncio.Semaphore(self.slots)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/search", self._search)
        app.router.add_get("/v1/state", self._state)
        self.orders.add_routes(app, self)
        return app

    async def _state(self, request: web.Request) -> web.Response:
        await self._be_silent()
        return web.Response(body=orjson.dumps(self.load()), content_type="application/json")

    async def _search(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        await self._be_silent()
        if self.behaviour.draining:
            return self._reply(body, "draining", ran=False)
        if self.behaviour.shedding:
            return self._reply(body, "shed", ran=False)
        if body["index_version"] not in self.versions:
            return self._reply(body, "version", ran=False)
        self.queued += 1
        try:
            await self.slot_free.acquire()
        finally:
            self.queued -= 1
        self.in_flight += 1
        try:
            await asyncio.sleep(self.service_s())
        finally:
            self.in_flight -= 1
            self.slot_free.release()
        rows = self.rows_of(body["shard"], body["index_version"], body)
        return self._reply(body, "ok", ran=True, rows=rows)

    async def _be_silent(self) -> None:
        while self.behaviour.silent:
            await asyncio.sleep(1.0)

    def service_s(self) -> float:
        """Return how long the next work takes."""
        service_ms = self.behaviour.service_ms
        if self.random.random() < self.behaviour.slow_ratio:
            service_ms += self.behaviour.slow_ms
        return service_ms / 1000.0

    def _reply(
        self, body: dict[str, Any], outcome: str, *, ran: bool, rows: list[Any] | None = None
    ) -> web.Response:
        self._record(body, outcome)
        content = {
            "outcome": outcome,
            "ran": ran,
            "request_id": body["request_id"],
            "attempt": body["attempt"],
            "shard": body["shard"],
            "index_version": body["index_version"],
            "rows": rows or [],
            "load": self.load(),
        }
        return web.Response(
            body=orjson.dumps(content), status=HTTPStatus.OK, content_type="application/json"
        )

    def _record(self, body: dict[str, Any], outcome: str) -> None:
        record = EndpointRecord(
            at_s=asyncio.get_running_loop().time(),
            request_id=body["request_id"],
            attempt=body["attempt"],
            shard=body["shard"],
            index_version=body["index_version"],
            outcome=outcome,
            draining=self.behaviour.draining,
        )
        self.records.append(record)

    def load(self) -> dict[str, Any]:
        """Return the load report, which may lie."""
        told = self.behaviour.reported_in_flight
        return {
            "slots": self.slots,
            "in_flight": self.in_flight if told is None else told,
            "queued": self.queued,
            "draining": self.behaviour.draining,
            "versions": sorted(self.versions),
        }

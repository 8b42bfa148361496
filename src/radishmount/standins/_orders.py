"""The stand-in's part for orders: it runs each order that it gets, and records that it did."""

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import Any, Protocol

import orjson
from aiohttp import web


__all__ = ["OrderBehaviour", "OrderRecord", "OrderStandIn", "runs_by_request_id"]

SILENCE_CHECK_S = 0.05


@dataclass(slots=True)
class OrderBehaviour:
    """What the stand-in does wrong with orders. All may change while it runs.

    `refuse_before_body` and `silent_before_body` act when only the headers are there,
    `silent_before_run` when the body is, and `lose_reply` when the order has run.
    """

    refuse_before_body: bool = False
    silent_before_body: bool = False
    silent_before_run: bool = False
    lose_reply: bool = False
    failing: bool = False


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """One order whose body reached the stand-in, and whether it ran there."""

    at_ms: float
    request_id: str
    attempt: int
    caller: str
    order: dict[str, Any]
    ran: bool


class SharedState(Protocol):
    """What orders share with the searches of the same stand-in."""

    name: str
    behaviour: Any
    random: Random
    in_flight: int
    queued: int
    slot_free: asyncio.Semaphore

    def load(self) -> dict[str, Any]:
        """Return the load report."""

    def now_ms(self) -> float:
        """Return the monotonic time that records are told in."""

    async def arrive(self, request: web.Request) -> None:
        """Wait as long as a new connection takes."""

    async def speak(self) -> None:
        """Wait until the stand-in is not silent."""


@dataclass(slots=True)
class OrderStandIn:
    """Runs orders in the slots of its endpoint. `records` serve the count of violations."""

    behaviour: OrderBehaviour = field(default_factory=OrderBehaviour)
    records: list[OrderRecord] = field(default_factory=list)

    def add_routes(self, app: web.Application, shared: SharedState) -> None:
        """Serve orders in `app`."""

        async def expect(request: web.Request) -> web.StreamResponse | None:
            await shared.arrive(request)
            await shared.speak()
            while self.behaviour.silent_before_body:
                await asyncio.sleep(SILENCE_CHECK_S)
            if self.behaviour.refuse_before_body:
                return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
            assert request.transport is not None
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            return None

        async def place(request: web.Request) -> web.Response:
            return await self._place(orjson.loads(await request.read()), shared)

        app.router.add_post("/v1/orders", place, expect_handler=expect)

    async def _place(self, body: dict[str, Any], shared: SharedState) -> web.Response:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + body["deadline_ms"] / 1000.0
        while self.behaviour.silent_before_run:
            await asyncio.sleep(SILENCE_CHECK_S)
        if shared.behaviour.draining:
            return self._reply(body, shared, "draining", ran=False)
        if shared.behaviour.shedding:
            return self._reply(body, shared, "shed", ran=False)
        shared.queued += 1
        try:
            await shared.slot_free.acquire()
        finally:
            shared.queued -= 1
        shared.in_flight += 1
        try:
            if loop.time() >= ends_at:
                return self._reply(body, shared, "deadline", ran=False)
            self._record(body, ran=True)
            work_ms = shared.behaviour.work_ms(shared.now_ms(), shared.random)
            await asyncio.sleep(work_ms / 1000.0)
        finally:
            shared.in_flight -= 1
            shared.slot_free.release()
        while self.behaviour.lose_reply:
            await asyncio.sleep(SILENCE_CHECK_S)
        outcome = "error" if self.behaviour.failing else "ok"
        return self._reply(body, shared, outcome, ran=True)

    def _reply(
        self, body: dict[str, Any], shared: SharedState, outcome: str, *, ran: bool
    ) -> web.Response:
        if not ran:
            self._record(body, ran=False)
        content = {
            "outcome": outcome,
            "ran": ran,
            "request_id": body["request_id"],
            "attempt": body["attempt"],
            "result": {"confirmed_by": shared.name} if outcome == "ok" else {},
            "load": shared.load(),
        }
        return web.Response(body=orjson.dumps(content), content_type="application/json")

    def _record(self, body: dict[str, Any], *, ran: bool) -> None:
        record = OrderRecord(
            at_ms=asyncio.get_running_loop().time() * 1000.0,
            request_id=body["request_id"],
            attempt=body["attempt"],
            caller=body["caller"],
            order=body["order"],
            ran=ran,
        )
        self.records.append(record)


def runs_by_request_id(records: Iterable[OrderRecord]) -> Counter[str]:
    """Return how often the order of each request ran; more than once is a violation."""
    return Counter(record.request_id for record in records if record.ran)

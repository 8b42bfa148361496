"""The orders of an endpoint stand-in: it runs each order that it receives and records it."""

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

SILENCE_POLL_S = 0.05


@dataclass(slots=True)
class OrderBehaviour:
    """The faults of the stand-in with orders, which may be changed while it runs.

    `refuse_before_body` and `silent_before_body` act when only the headers have arrived,
    `silent_before_run` when the body has, and `lose_reply` when the order has run. With `failing`,
    an order that ran is answered with the outcome `error`.
    """

    refuse_before_body: bool = False
    silent_before_body: bool = False
    silent_before_run: bool = False
    lose_reply: bool = False
    failing: bool = False


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """One order whose body reached the stand-in, and whether it ran there. `at_ms` is monotonic."""

    at_ms: float
    request_id: str
    attempt: int
    caller: str
    order: dict[str, Any]
    ran: bool


class EndpointState(Protocol):
    """The state that orders share with the searches of the same endpoint stand-in."""

    name: str
    behaviour: Any
    random: Random
    in_flight: int
    queued: int
    free_slots: asyncio.Semaphore

    def load_report(self) -> dict[str, Any]:
        """Return the load report, as the endpoint protocol encodes it."""

    def now_ms(self) -> float:
        """Return the monotonic time that records use."""

    async def wait_for_connection(self, request: web.Request) -> None:
        """Wait as long as opening a new connection takes; on a silent one, wait forever."""

    async def wait_while_silent(self) -> None:
        """Wait until the stand-in may reply again."""


@dataclass(slots=True)
class OrderStandIn:
    """Runs orders in the slots of its endpoint. `records` show which orders ran more than once."""

    behaviour: OrderBehaviour = field(default_factory=OrderBehaviour)
    records: list[OrderRecord] = field(default_factory=list)

    def add_routes(self, app: web.Application, endpoint: EndpointState) -> None:
        """Add the route for orders to `app`, served with the slots and state of `endpoint`."""

        async def handle_expect(request: web.Request) -> web.StreamResponse | None:
            await endpoint.wait_for_connection(request)
            await endpoint.wait_while_silent()
            while self.behaviour.silent_before_body:
                await asyncio.sleep(SILENCE_POLL_S)
            if self.behaviour.refuse_before_body:
                return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
            assert request.transport is not None
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            return None

        async def handle_order(request: web.Request) -> web.Response:
            return await self._run_order(orjson.loads(await request.read()), endpoint)

        app.router.add_post("/v1/orders", handle_order, expect_handler=handle_expect)

    async def _run_order(self, body: dict[str, Any], endpoint: EndpointState) -> web.Response:
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + body["deadline_ms"] / 1000.0
        while self.behaviour.silent_before_run:
            await asyncio.sleep(SILENCE_POLL_S)
        if endpoint.behaviour.draining:
            return self._reply(body, endpoint, "draining", ran=False)
        if endpoint.behaviour.shedding:
            return self._reply(body, endpoint, "shed", ran=False)
        endpoint.queued += 1
        try:
            await endpoint.free_slots.acquire()
        finally:
            endpoint.queued -= 1
        endpoint.in_flight += 1
        try:
            if loop.time() >= ends_at_s:
                return self._reply(body, endpoint, "deadline", ran=False)
            self._record(body, ran=True)
            work_ms = endpoint.behaviour.work_ms(endpoint.now_ms(), endpoint.random)
            await asyncio.sleep(work_ms / 1000.0)
        finally:
            endpoint.in_flight -= 1
            endpoint.free_slots.release()
        while self.behaviour.lose_reply:
            await asyncio.sleep(SILENCE_POLL_S)
        outcome = "error" if self.behaviour.failing else "ok"
        return self._reply(body, endpoint, outcome, ran=True)

    def _reply(
        self, body: dict[str, Any], endpoint: EndpointState, outcome: str, *, ran: bool
    ) -> web.Response:
        if not ran:
            self._record(body, ran=False)
        content = {
            "outcome": outcome,
            "ran": ran,
            "request_id": body["request_id"],
            "attempt": body["attempt"],
            "result": {"confirmed_by": endpoint.name} if outcome == "ok" else {},
            "load": endpoint.load_report(),
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
    """Return how often the order of each request ran. More than once breaks at-most-once."""
    return Counter(record.request_id for record in records if record.ran)

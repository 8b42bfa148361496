"""A stand-in for an endpoint, with slots, a queue, latency and configurable faults."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import Any

import orjson
from aiohttp import web

from radishmount.publication import Shard
from radishmount.standins._behaviour import EndpointBehaviour
from radishmount.standins._orders import OrderStandIn
from radishmount.standins._serve import StandInServer
from radishmount.trial import EndpointRecord


__all__ = ["EndpointStandIn"]

SILENCE_POLL_S = 0.05
ROWS_PER_SHARD = 2

MakeRows = Callable[[str, int, dict[str, Any]], list[Any]]


@dataclass(slots=True)
class EndpointStandIn:
    """Serves the endpoint protocol with rows generated from shard, version and key.

    Each row names its origin, so that an answer can be compared with `records`; `make_rows`
    replaces the generated rows. If `shards_by_name` is set, the stand-in refuses shards that it
    does not hold. `server` is the server that it runs in, which knows its connections.
    """

    name: str
    slots: int
    versions: set[int]
    random: Random
    service: str = ""
    shards_by_name: Mapping[str, Shard] = field(default_factory=dict)
    behaviour: EndpointBehaviour = field(default_factory=EndpointBehaviour)
    records: list[EndpointRecord] = field(default_factory=list)
    orders: OrderStandIn = field(default_factory=OrderStandIn)
    in_flight: int = 0
    queued: int = 0
    probes: int = 0
    server: StandInServer | None = None
    make_rows: MakeRows | None = None
    free_slots: asyncio.Semaphore = field(init=False)
    tasks_by_attempt: dict[tuple[str, int], asyncio.Task[Any]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the semaphore of the slots."""
        self.free_slots = asyncio.Semaphore(self.slots)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/search", self._search)
        app.router.add_post("/v1/cancel", self._cancel)
        app.router.add_get("/v1/state", self._state)
        self.orders.add_routes(app, self)
        return app

    def now_ms(self) -> float:
        """Return the monotonic time that records use."""
        return asyncio.get_running_loop().time() * 1000.0

    async def wait_for_connection(self, request: web.Request) -> None:
        """Wait as long as opening a new connection takes; on a silent one, wait forever."""
        connection = None if self.server is None else self.server.connection_of(request)
        if connection is None:
            return
        if not connection.used:
            connection.used = True
            await asyncio.sleep(self.behaviour.connect_ms / 1000.0)
        while connection.opened_at_ms < (self.behaviour.silent_before_ms or 0.0):
            await asyncio.sleep(SILENCE_POLL_S)

    async def wait_while_silent(self) -> None:
        """Wait until the stand-in may reply again."""
        while self.behaviour.silent:
            await asyncio.sleep(SILENCE_POLL_S)

    def load_report(self) -> dict[str, Any]:
        """Return the load report, as the endpoint protocol encodes it."""
        reported = self.behaviour.reported_in_flight
        return {
            "slots": self.slots,
            "in_flight": self.in_flight if reported is None else reported,
            "queued": self.queued if reported is None else 0,
            "draining": self.behaviour.draining,
            "versions": sorted(self.versions),
        }

    async def _state(self, request: web.Request) -> web.Response:
        await self.wait_for_connection(request)
        self.probes += 1
        await self.wait_while_silent()
        return _json_response(self.load_report())

    async def _cancel(self, request: web.Request) -> web.Response:
        """Cancel the work on one attempt, which frees its slot."""
        body = orjson.loads(await request.read())
        await self.wait_for_connection(request)
        await self.wait_while_silent()
        task = self.tasks_by_attempt.get((body["request_id"], body["attempt"]))
        if task is not None:
            task.cancel()
        return _json_response({"cancelled": task is not None})

    async def _search(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        await self.wait_for_connection(request)
        record = self._record(body)
        await self.wait_while_silent()
        refusal = self._refusal_outcome(body)
        if refusal:
            return self._reply(record, refusal)
        key = (record.request_id, record.attempt)
        task = asyncio.ensure_future(self._work(record, body["deadline_ms"]))
        self.tasks_by_attempt[key] = task
        try:
            outcome = await task
        except asyncio.CancelledError:
            task.cancel()
            record.outcome = "cancelled"
            if asyncio.current_task().cancelling():  # type: ignore[union-attr]
                raise
            return self._reply(record, "error", detail="cancelled")
        finally:
            self.tasks_by_attempt.pop(key, None)
        if outcome != "ok":
            return self._reply(record, outcome)
        return self._reply(record, "ok", rows=self._rows(record, body))

    async def _work(self, record: EndpointRecord, deadline_ms: float) -> str:
        """Wait for a slot, do the work and return the outcome."""
        queued_at_ms = self.now_ms()
        self.queued += 1
        try:
            await self.free_slots.acquire()
        finally:
            self.queued -= 1
        try:
            now_ms = self.now_ms()
            if now_ms - queued_at_ms >= deadline_ms:
                return "deadline"
            self.in_flight += 1
            record.ran = True
            try:
                await asyncio.sleep(self.behaviour.work_ms(now_ms, self.random) / 1000.0)
            finally:
                self.in_flight -= 1
        finally:
            self.free_slots.release()
        return "ok"

    def _refusal_outcome(self, body: dict[str, Any]) -> str:
        if self.behaviour.draining:
            return "draining"
        if self.behaviour.shedding:
            return "shed"
        if body["index_version"] not in self.versions:
            return "version"
        shard = self.shards_by_name.get(body["shard"])
        if self.shards_by_name and (
            shard is None or shard.service != self.service or not shard.is_in(body["index_version"])
        ):
            return "error"
        return "deadline" if body["deadline_ms"] <= 0 else ""

    def _rows(self, record: EndpointRecord, body: dict[str, Any]) -> list[Any]:
        if self.make_rows is not None:
            return self.make_rows(record.shard, record.index_version, body)
        shard = self.shards_by_name.get(record.shard)
        low = body["keys"]["from"] if shard is None else shard.keys.low
        origin = {
            "v": record.index_version,
            "endpoint": self.name,
            "request_id": record.request_id,
            "attempt": record.attempt,
            "text": record.text,
            "from": low,
            "to": None if shard is None else shard.keys.high,
        }
        return [[f"{low}{record.shard}-{n}", 1.0 / (n + 1), origin] for n in range(ROWS_PER_SHARD)]

    def _record(self, body: dict[str, Any]) -> EndpointRecord:
        shard = self.shards_by_name.get(body["shard"])
        record = EndpointRecord(
            endpoint=self.name,
            at_ms=self.now_ms(),
            request_id=body["request_id"],
            attempt=body["attempt"],
            shard=body["shard"],
            index_version=body["index_version"],
            text=body["text"],
            leaving_since_ms=self.behaviour.leaving_since_ms,
            keys=None if shard is None else shard.keys,
        )
        self.records.append(record)
        return record

    def _reply(
        self,
        record: EndpointRecord,
        outcome: str,
        *,
        rows: list[Any] | None = None,
        detail: str = "",
    ) -> web.Response:
        if record.outcome == "open":
            record.outcome = outcome
        content = {
            "outcome": outcome,
            "ran": record.ran,
            "request_id": record.request_id,
            "attempt": record.attempt,
            "shard": record.shard,
            "index_version": record.index_version,
            "rows": rows or [],
            "detail": detail,
            "load": self.load_report(),
        }
        return _json_response(content)


def _json_response(content: dict[str, Any]) -> web.Response:
    return web.Response(
        body=orjson.dumps(content), status=HTTPStatus.OK, content_type="application/json"
    )

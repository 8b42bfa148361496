"""A fake instance, for tests of the HTTP APIs alone."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.border import (
    RequestMetrics,
    SocketAddress,
    make_caller_app,
    make_operator_app,
    serve,
)
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.endpoints import Row
from radishmount.fleet import AddressAnswer, Instance
from radishmount.queries import SearchAnswer, SearchCall, SearchRecord
from radishmount.snapshots import Coverage


FREE_ADDRESS = SocketAddress("127.0.0.1", 0)
FROZEN_CLOCK = Clock(now_ms=lambda: 0.0, wall_ms=lambda: 0.0)


@dataclass
class FakeService:
    """A fake instance that answers as its fields say, and records the searches it received.

    A search takes `delay_s`, then raises `error` or returns `refusal` if one is set.
    """

    row_count: int = 1
    extra_fields: dict[str, Any] = field(default_factory=dict)
    missing: tuple[str, ...] = ()
    error: Exception | None = None
    refusal: Refusal | None = None
    delay_s: float = 0.0
    search_outcomes: list[str] = field(default_factory=list)
    leaving: bool = False
    ready: bool = True
    record: SearchRecord | None = None
    calls: list[SearchCall] = field(default_factory=list)
    audit: AuditTrail = field(default_factory=lambda: AuditTrail(FROZEN_CLOCK))
    counters: Counters = field(default_factory=Counters)
    request_id_count: int = 0

    def new_request_id(self) -> str:
        self.request_id_count += 1
        return f"made-{self.request_id_count}"

    def is_leaving(self) -> bool:
        return self.leaving

    def is_ready(self) -> bool:
        return self.ready

    def status(self) -> dict[str, Any]:
        return {"name": "fake"}

    def explain(self, request_id: str) -> SearchRecord | None:
        return self.record

    def gauges(self) -> dict[str, float]:
        return {"publication_version": 7.0}

    def addresses(self, caller: str, data_centre: str) -> Result[AddressAnswer, Refusal]:
        if caller != "workshop":
            return Err(Refusal(Code.UNKNOWN_CALLER, detail=caller))
        return Ok(AddressAnswer((Instance("entry-a", "milano", "127.0.0.1:1", ""),)))

    async def search(self, request_id: str, call: SearchCall) -> Result[SearchAnswer, Refusal]:
        self.calls.append(call)
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.search_outcomes.append("cancelled")
            raise
        self.search_outcomes.append("completed")
        if self.error is not None:
            raise self.error
        if self.refusal is not None:
            return Err(self.refusal)
        rows = tuple(
            Row(f"key-{n}", 1.0, {"n": n, **self.extra_fields}) for n in range(self.row_count)
        )
        coverage = Coverage(("low",), self.missing)
        return Ok(SearchAnswer(request_id, 1, rows, coverage, sub_requests=1))


AppFactory = Callable[[FakeService, RequestMetrics], web.Application]


@asynccontextmanager
async def serve_fake(
    service: FakeService, make_app: AppFactory = make_caller_app, **options: Any
) -> AsyncIterator[str]:
    """Serve `service` on loopback and yield its address; `options` are those of `serve`."""
    server = (await serve(make_app(service, RequestMetrics()), FREE_ADDRESS, **options)).unwrap()
    try:
        yield str(server.address)
    finally:
        await server.stop()


def operator_app(service: FakeService, metrics: RequestMetrics) -> web.Application:
    """Return the HTTP application for operators."""
    return make_operator_app(service, metrics)


async def send_raw(address: str, *pieces: bytes, pause_s: float = 0.0) -> bytes:
    """Send `pieces` over a new connection, `pause_s` apart, and return all that is received."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause_s)
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()

"""The endpoints of a run: stand-ins that work, fail and leave, each behind a link."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from radishmount.standins import BackEndStandIn, Relay, SeenRequest, StoreStandIn, start_relay
from soak._records import Ran, Records


__all__ = ["Endpoints", "SoakEndpoint"]

SLOTS = 4
LAPSE_S = 3.6  # three heartbeats of the settings
USUAL_WORK_MS = 5.0
SLOW_WORK_MS = 400.0
RECORDS_OF_PART = 3
RECORD_BYTES = 16
RECORDS_MAX = 256**RECORD_BYTES


@dataclass(slots=True, eq=False)
class SoakEndpoint:
    """One endpoint, its link, and how it misbehaves now."""

    name: str
    service: str
    back_end: BackEndStandIn
    link: Relay
    sheds: bool = False
    loses: bool = False
    answers_twice: bool = False
    is_draining: bool = False
    sequence: int = 1

    def heal(self) -> None:
        """Behave again."""
        self.sheds = self.loses = self.answers_twice = self.back_end.resets = False
        self.back_end.work_ms = USUAL_WORK_MS
        self.link.is_cut, self.link.cut_direction = False, None


@dataclass(slots=True)
class Endpoints:
    """All endpoints by name, registered in the store."""

    store: StoreStandIn
    records: Records
    random: Random
    by_name: dict[str, SoakEndpoint] = field(default_factory=dict)
    numbers_by_service: dict[str, int] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def add(self, service: str) -> SoakEndpoint:
        """Start an endpoint of `service`."""
        number = self.numbers_by_service.get(service, 0) + 1
        self.numbers_by_service[service] = number
        name = f"{service}-{number}"
        back_end = BackEndStandIn(name, lambda request, _: self._answer(endpoint, request))
        back_end.work_ms = USUAL_WORK_MS
        await back_end.start()
        link = await start_relay(back_end.address, lambda: 0.0)
        endpoint = SoakEndpoint(name, service, back_end, link)
        self.by_name[name] = endpoint
        await self.register(endpoint)
        return endpoint

    async def register(self, endpoint: SoakEndpoint) -> None:
        """Write what the endpoint says of itself."""
        endpoint.sequence += 1
        entry = {
            "service": endpoint.service,
            "address": str(endpoint.link.address),
            "zone": "z1",
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if endpoint.is_draining else "ready",
            "coldLeftMs": 0,
            "born": 1_785_000_000_000,
            "seq": endpoint.sequence,
        }
        await self.store.put(f"servers/{endpoint.name}", entry)

    def of(self, service: str) -> list[SoakEndpoint]:
        """Return the endpoints of a service that do not leave."""
        return [e for e in self.by_name.values() if e.service == service and not e.is_draining]

    async def lose(self, endpoint: SoakEndpoint) -> None:
        """Kill an endpoint without a word; its entry lapses, and another one takes its place."""
        del self.by_name[endpoint.name]
        await endpoint.link.stop()
        await endpoint.back_end.stop()
        self.start(self._lapse(endpoint))

    async def leave(self, endpoint: SoakEndpoint, serve_s: float) -> None:
        """Start another endpoint in the place of one that leaves."""
        await self.add(endpoint.service)
        await self.retire(endpoint, serve_s)

    async def retire(self, endpoint: SoakEndpoint, serve_s: float) -> None:
        """Have an endpoint say that it leaves, serve on for a while, and go."""
        endpoint.is_draining = True
        await self.register(endpoint)
        drained_at_s = asyncio.get_running_loop().time()
        self.records.drained_at_s_by_endpoint[endpoint.name] = drained_at_s
        self.start(self._go(endpoint, serve_s))

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task that ends with the run."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def heal(self) -> None:
        """Have every endpoint behave."""
        for endpoint in self.by_name.values():
            endpoint.heal()

    async def stop(self) -> None:
        """End everything."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for endpoint in self.by_name.values():
            await endpoint.link.stop()
            await endpoint.back_end.stop()

    async def _lapse(self, endpoint: SoakEndpoint) -> None:
        await asyncio.sleep(LAPSE_S)
        await self.store.remove(f"servers/{endpoint.name}")
        await self.add(endpoint.service)

    async def _go(self, endpoint: SoakEndpoint, serve_s: float) -> None:
        await asyncio.sleep(serve_s)
        await self.store.remove(f"servers/{endpoint.name}")
        self.by_name.pop(endpoint.name, None)
        await endpoint.link.stop()
        await endpoint.back_end.stop()

    def _answer(self, endpoint: SoakEndpoint, request: SeenRequest) -> bytes | None:
        """Run a request, unless it is for another endpoint or there is no room."""
        if request.headers.get("radishmount-expect-instance") != endpoint.name:
            return _head(421, request.request_id, 0)
        if endpoint.sheds:
            return _head(503, request.request_id, 0, "Radishmount-Not-Executed: full\r\n")
        ran = Ran(request.request_id, endpoint.service, endpoint.name, request.at_s)
        self.records.ran.append(ran)
        signature = f"{endpoint.name}/{request.request_id}"
        rows = [self.random.randrange(RECORDS_MAX) for _ in range(RECORDS_OF_PART)]
        body = b"".join(row.to_bytes(RECORD_BYTES, "big") for row in rows)
        self.records.bodies_by_signature[signature] = body
        if endpoint.loses:
            return b""
        stamp = f"Radishmount-Server-Stamp: {signature}\r\n"
        answer = _head(200, request.request_id, len(body), stamp) + body
        return answer * 2 if endpoint.answers_twice else answer


def _head(status: int, request_id: str, length: int, more: str = "") -> bytes:
    return (
        f"HTTP/1.1 {status} Any\r\nRadishmount-Request-Id: {request_id}\r\n{more}"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()

"""The endpoints of a run: stand-ins that work, fail and leave, each behind a relay."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from radishmount.standins import BackEndStandIn, ReceivedRequest, Relay, StoreStandIn, start_relay
from soak._records import ExecutionRecord, Records


__all__ = ["Endpoints", "SoakEndpoint"]

SLOTS = 4
ENTRY_PREFIX = "servers/"
ENTRY_EXPIRY_S = 3.6  # three heartbeat intervals of the settings
USUAL_WORK_MS = 5.0
SLOW_WORK_MS = 400.0
RECORDS_PER_PART = 3
RECORD_BYTES = 16
ENDLESS_STARTS = (
    b"HTTP/1.1 200 OK\r\nX-Filler: ",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
)
ENDLESS_PART = b"x" * 16_384
RECORD_VALUES = 256**RECORD_BYTES


@dataclass(slots=True, eq=False)
class SoakEndpoint:
    """One endpoint, the relay in front of it, and its current faults.

    `loses_replies` ends the connection in place of a reply. `endless_start` begins a reply that has
    no end, in its head or in its body. `sequence` numbers what it registers.
    """

    name: str
    service: str
    back_end: BackEndStandIn
    link: Relay
    sheds_load: bool = False
    loses_replies: bool = False
    answers_twice: bool = False
    endless_start: bytes = b""
    is_draining: bool = False
    sequence: int = 1

    def answer_without_end(self) -> None:
        """Begin replies that go on until the caller closes."""
        self.endless_start = ENDLESS_STARTS[len(self.back_end.received) % len(ENDLESS_STARTS)]
        self.back_end.endless_part = ENDLESS_PART

    def heal(self) -> None:
        """End all faults."""
        self.endless_start = self.back_end.endless_part = b""
        self.sheds_load = self.loses_replies = self.answers_twice = (
            self.back_end.resets_after_reply
        ) = False
        self.back_end.work_ms = USUAL_WORK_MS
        self.link.is_cut, self.link.cut_direction = False, None


@dataclass(slots=True)
class Endpoints:
    """All endpoints by name. Each is registered in the store."""

    store: StoreStandIn
    records: Records
    random: Random
    by_name: dict[str, SoakEndpoint] = field(default_factory=dict)
    last_number_by_service: dict[str, int] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def add(self, service: str) -> SoakEndpoint:
        """Start an endpoint of `service` and register it."""
        number = self.last_number_by_service.get(service, 0) + 1
        self.last_number_by_service[service] = number
        name = f"{service}-{number}"
        back_end = BackEndStandIn(name, lambda request, _: self._reply_to(endpoint, request))
        back_end.work_ms = USUAL_WORK_MS
        await back_end.start()
        link = await start_relay(back_end.address, lambda: 0.0)
        endpoint = SoakEndpoint(name, service, back_end, link)
        self.by_name[name] = endpoint
        await self.register(endpoint)
        return endpoint

    async def register(self, endpoint: SoakEndpoint) -> None:
        """Write the endpoint's entry in the store, with its current state."""
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
        await self.store.put(f"{ENTRY_PREFIX}{endpoint.name}", entry)

    def staying_in_service(self, service: str) -> list[SoakEndpoint]:
        """Return the endpoints of `service` that are not draining."""
        return [e for e in self.by_name.values() if e.service == service and not e.is_draining]

    async def write_again(self) -> None:
        """Write the entries that the store may have lost, and remove those of ended endpoints."""
        for endpoint in list(self.by_name.values()):
            await self.register(endpoint)
        await asyncio.sleep(ENTRY_EXPIRY_S)
        for key in list(self.store.values_by_key):
            name = key.removeprefix(ENTRY_PREFIX)
            if name != key and name not in self.by_name:
                await self.store.remove(key)

    async def kill(self, endpoint: SoakEndpoint) -> None:
        """Stop an endpoint without notice; it is replaced when its entry in the store expires."""
        del self.by_name[endpoint.name]
        await endpoint.link.stop()
        await endpoint.back_end.stop()
        self.start_task(self._replace_when_expired(endpoint))

    async def replace(self, endpoint: SoakEndpoint, drain_s: float) -> None:
        """Start a new endpoint of the same service and drain `endpoint`."""
        await self.add(endpoint.service)
        await self.drain(endpoint, drain_s)

    async def drain(self, endpoint: SoakEndpoint, drain_s: float) -> None:
        """Register an endpoint as draining, and stop it after `drain_s`."""
        endpoint.is_draining = True
        await self.register(endpoint)
        draining_since_s = asyncio.get_running_loop().time()
        self.records.draining_since_s_by_endpoint[endpoint.name] = draining_since_s
        self.start_task(self._stop_when_drained(endpoint, drain_s))

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` in a task that is cancelled at the end of the run."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def heal(self) -> None:
        """End the faults of every endpoint."""
        for endpoint in self.by_name.values():
            endpoint.heal()

    async def stop(self) -> None:
        """Cancel the tasks and stop every endpoint."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for endpoint in self.by_name.values():
            await endpoint.link.stop()
            await endpoint.back_end.stop()

    async def _replace_when_expired(self, endpoint: SoakEndpoint) -> None:
        await asyncio.sleep(ENTRY_EXPIRY_S)
        await self.store.remove(f"{ENTRY_PREFIX}{endpoint.name}")
        await self.add(endpoint.service)

    async def _stop_when_drained(self, endpoint: SoakEndpoint, drain_s: float) -> None:
        await asyncio.sleep(drain_s)
        await self.store.remove(f"{ENTRY_PREFIX}{endpoint.name}")
        self.by_name.pop(endpoint.name, None)
        await endpoint.link.stop()
        await endpoint.back_end.stop()

    def _reply_to(self, endpoint: SoakEndpoint, request: ReceivedRequest) -> bytes | None:
        """Run `request`, unless it is for another endpoint or load is shed; return the reply."""
        if request.headers.get("radishmount-expect-instance") != endpoint.name:
            return _head(421, request.request_id, 0)
        if endpoint.sheds_load:
            return _head(503, request.request_id, 0, "Radishmount-Not-Executed: full\r\n")
        execution = ExecutionRecord(
            request.request_id, endpoint.service, endpoint.name, request.at_s
        )
        self.records.executions.append(execution)
        stamp = f"{endpoint.name}/{request.request_id}"
        rows = [self.random.randrange(RECORD_VALUES) for _ in range(RECORDS_PER_PART)]
        body = b"".join(row.to_bytes(RECORD_BYTES, "big") for row in rows)
        self.records.body_by_stamp[stamp] = body
        if endpoint.loses_replies:
            return b""
        if endpoint.endless_start:
            return endpoint.endless_start
        stamp_header = f"Radishmount-Server-Stamp: {stamp}\r\n"
        answer = _head(200, request.request_id, len(body), stamp_header) + body
        return answer * 2 if endpoint.answers_twice else answer


def _head(status: int, request_id: str, length: int, more: str = "") -> bytes:
    return (
        f"HTTP/1.1 {status} Any\r\nRadishmount-Request-Id: {request_id}\r\n{more}"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()

"""Endpoints that answer forwarded requests, on virtual time, and the tools to reach them."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.clock import Clock, loop_clock
from radishmount.codes import Code, RunStatus
from radishmount.counters import Counters
from radishmount.discovery import EndpointList, ListedEndpoint
from radishmount.endpoints import (
    Channel,
    EndpointPool,
    Failure,
    ForwardCall,
    ForwardReply,
    ForwardRequest,
    LoadReport,
    make_weighted_choice,
)
from radishmount.fleet import FleetShares
from radishmount.forwarding import (
    ForwardContext,
    ForwardOutcome,
    ForwardRetryBudget,
    RetryBudgetSettings,
    forward,
    make_plan,
)
from radishmount.gateway import FORWARD_POLICY
from radishmount.publication import Publication, Service
from radishmount.routes import Route, WeightedService


DATA_CENTRE = "milano"
CONNECTIONS = 40


@dataclass
class FakeForwardEndpoint:
    """One endpoint of a service. All fields may change while it runs.

    `refusals`, `losses` and `failures` are how many of the next requests it sheds without running
    them, runs without an answer, and runs with an error of its own.
    """

    name: str
    service: str
    service_ms: float = 10.0
    refusals: int = 0
    losses: int = 0
    failures: int = 0
    queued: int = 0
    silent: bool = False
    unreachable: bool = False
    arrivals: list[str] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    abandoned: list[str] = field(default_factory=list)
    time_left_ms: list[float] = field(default_factory=list)


class FakeForwardChannel:
    """One connection to a `FakeForwardEndpoint`."""

    def __init__(self, back_end: FakeForwardEndpoint) -> None:
        self._back_end = back_end

    async def exchange(
        self, request: ForwardRequest, remaining_ms: float
    ) -> Result[ForwardReply, Failure]:
        """Answer as the endpoint is set to."""
        back_end = self._back_end
        if back_end.unreachable:
            return Err(Failure(Code.NOT_CONNECTED))
        request_id = request.call.request_id
        back_end.arrivals.append(request_id)
        back_end.time_left_ms.append(remaining_ms)
        if back_end.silent:
            await asyncio.sleep(3_600.0)
        if back_end.refusals:
            back_end.refusals -= 1
            return Err(Failure(Code.SHED))
        back_end.ran.append(request_id)
        try:
            await asyncio.sleep(back_end.service_ms / 1000.0)
        except asyncio.CancelledError:
            back_end.abandoned.append(request_id)
            raise
        if back_end.losses:
            back_end.losses -= 1
            return Err(Failure(Code.CONNECTION_LOST, RunStatus.UNKNOWN))
        status = 200
        if back_end.failures:
            back_end.failures -= 1
            status = 500
        body = back_end.service.encode().ljust(16, b".")
        load = LoadReport(slots=2, in_flight=2, queued=back_end.queued)
        signature = f"{back_end.name}/{request_id}"
        return Ok(ForwardReply(request.service, status, (), body, signature, load))

    async def place(self, request: Any, remaining_ms: float) -> Any:
        """Refuse orders."""
        raise NotImplementedError

    async def probe(self) -> Result[LoadReport, Failure]:
        """Tell whether a connection can be made."""
        return Err(Failure(Code.NOT_CONNECTED)) if self._back_end.unreachable else Ok(LoadReport())

    async def close(self) -> bool:
        """Close the connection."""
        return True


class ForwardHarness:
    """Services with three endpoints each, as one instance sees them."""

    def __init__(
        self,
        services: int = 4,
        bounds: RetryBudgetSettings | None = None,
        cold_ms_by_name: Mapping[str, float] | None = None,
    ) -> None:
        self.cold_ms_by_name = cold_ms_by_name or {}
        self.clock: Clock = loop_clock(asyncio.get_running_loop())
        self.counters = Counters()
        self.random = Random(3)
        self.services = [f"s{n}" for n in range(services)]
        self.endpoints_by_name = {
            f"{service}-{replica}": FakeForwardEndpoint(f"{service}-{replica}", service)
            for service in self.services
            for replica in "abc"
        }
        self.pool = EndpointPool(
            "entry", self._open, self.clock, self.counters, AuditTrail(self.clock), FORWARD_POLICY
        )
        self.pool.subsets.connections_per_instance = 1
        bounds = bounds or RetryBudgetSettings(ratio=0.2, slack=1_000.0)
        self.tools = ForwardContext(
            self.pool,
            self.clock,
            self.random,
            make_weighted_choice(DATA_CENTRE, Random(5), FORWARD_POLICY),
            self.counters,
            ForwardRetryBudget(bounds, FleetShares()),
        )
        self.last_id = 0

    async def start(self) -> "ForwardHarness":
        """List every endpoint."""
        listed = EndpointList()
        for name, back_end in self.endpoints_by_name.items():
            cold_for_ms = self.cold_ms_by_name.get(name, 0.0)
            entry = ListedEndpoint(
                name, back_end.service, name, DATA_CENTRE, slots=2, cold_for_ms=cold_for_ms
            )
            listed.put(name, entry, 0.0)
        services = {name: Service(name, 0, CONNECTIONS, ()) for name in self.services}
        publication = listed.merge_into(Publication(1, "d", services_by_name=services))
        await self.pool.apply_publication(publication, ["entry"])
        return self

    def endpoints_of(self, service: str) -> list[FakeForwardEndpoint]:
        """Return the endpoints of a service."""
        return [
            back_end for back_end in self.endpoints_by_name.values() if back_end.service == service
        ]

    def fan_out_route(self, **fields: Any) -> Route:
        """Return a route to all services."""
        defaults: dict[str, Any] = {
            "shards": tuple(self.services),
            "top_records": 10,
            "min_share": 0.7,
            "timeout_ms": 1_000.0,
            "target_latency_ms": 140.0,
        }
        return Route("gather", "h", "/", **{**defaults, **fields})

    def single_route(self, **fields: Any) -> Route:
        """Return a route to the first service."""
        defaults: dict[str, Any] = {
            "services": (WeightedService(self.services[0]),),
            "timeout_ms": 1_000.0,
            "target_latency_ms": 400.0,
        }
        return Route("single", "h", "/", **{**defaults, **fields})

    async def ask(self, route: Route, time_left_ms: float | None = None) -> ForwardOutcome:
        """Forward one request."""
        self.last_id += 1
        call = ForwardCall(f"r{self.last_id}", "GET", "/x")
        plan = make_plan(call, route, self.clock.now_ms(), time_left_ms, self.random)
        return await forward(plan, self.tools)

    def runs_of(self, request_id: str) -> int:
        """Return how often endpoints ran a request."""
        return sum(back_end.ran.count(request_id) for back_end in self.endpoints_by_name.values())

    def arrivals_of(self, request_id: str) -> int:
        """Return how often a request reached an endpoint."""
        return sum(
            back_end.arrivals.count(request_id) for back_end in self.endpoints_by_name.values()
        )

    async def stop(self) -> None:
        """Close every connection."""
        await self.pool.stop()

    def _open(self, address: str) -> Channel:
        return FakeForwardChannel(self.endpoints_by_name[address])


@asynccontextmanager
async def forward_harness(services: int, **fields: Any) -> AsyncIterator[ForwardHarness]:
    """Return a world that runs until the end of the block.

    It starts within the test, as the virtual clock of a fixture is another one.
    """
    world = ForwardHarness(services, **fields)
    await world.start()
    try:
        yield world
    finally:
        await world.stop()

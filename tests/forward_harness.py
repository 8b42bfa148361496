"""A harness that forwards requests to fake endpoints on virtual time."""

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
    """One endpoint of a service. Tests may change every field while it runs.

    `requests_to_shed`, `requests_to_lose` and `requests_to_fail` are how many of the next requests
    it sheds without running them, runs without sending a reply, and runs with an error response.
    While it is `leaving`, each of its replies says so. What it sheds asks for a pause of
    `pause_ms`.
    """

    name: str
    service: str
    service_ms: float = 10.0
    requests_to_shed: int = 0
    requests_to_lose: int = 0
    requests_to_fail: int = 0
    queued: int = 0
    silent: bool = False
    leaving: bool = False
    pause_ms: float = 0.0
    unreachable: bool = False
    received_ids: list[str] = field(default_factory=list)
    ran_ids: list[str] = field(default_factory=list)
    cancelled_ids: list[str] = field(default_factory=list)
    time_left_ms: list[float] = field(default_factory=list)


class FakeForwardChannel:
    """One connection to a `FakeForwardEndpoint`."""

    def __init__(self, endpoint: FakeForwardEndpoint) -> None:
        self._endpoint = endpoint

    async def exchange(
        self, request: ForwardRequest, remaining_ms: float
    ) -> Result[ForwardReply, Failure]:
        """Reply as the fields of the endpoint say."""
        endpoint = self._endpoint
        if endpoint.unreachable:
            return Err(Failure(Code.NOT_CONNECTED))
        request_id = request.call.request_id
        endpoint.received_ids.append(request_id)
        endpoint.time_left_ms.append(remaining_ms)
        if endpoint.silent:
            await asyncio.sleep(3_600.0)
        if endpoint.requests_to_shed:
            endpoint.requests_to_shed -= 1
            load = LoadReport(draining=endpoint.leaving, pause_ms=endpoint.pause_ms)
            return Err(Failure(Code.SHED, load=load))
        endpoint.ran_ids.append(request_id)
        try:
            await asyncio.sleep(endpoint.service_ms / 1000.0)
        except asyncio.CancelledError:
            endpoint.cancelled_ids.append(request_id)
            raise
        if endpoint.requests_to_lose:
            endpoint.requests_to_lose -= 1
            return Err(Failure(Code.CONNECTION_LOST, RunStatus.UNKNOWN))
        status = 200
        if endpoint.requests_to_fail:
            endpoint.requests_to_fail -= 1
            status = 500
        body = endpoint.service.encode().ljust(16, b".")
        load = LoadReport(slots=2, in_flight=2, queued=endpoint.queued, draining=endpoint.leaving)
        signature = f"{endpoint.name}/{request_id}"
        return Ok(ForwardReply(request.service, status, (), body, signature, load))

    async def place(self, request: Any, remaining_ms: float) -> Any:
        """Raise, as no test sends orders."""
        raise NotImplementedError

    async def probe(self) -> Result[LoadReport, Failure]:
        """Return an empty report, or a failure when the endpoint is unreachable."""
        return Err(Failure(Code.NOT_CONNECTED)) if self._endpoint.unreachable else Ok(LoadReport())

    async def close(self) -> bool:
        """Close the connection, at once."""
        return True


class ForwardHarness:
    """One instance's forwarding, with a fake endpoint for each of `replicas` of each service."""

    def __init__(
        self,
        services: int = 4,
        retry_settings: RetryBudgetSettings | None = None,
        cold_ms_by_name: Mapping[str, float] | None = None,
        replicas: str = "abc",
        data_centre_by_replica: Mapping[str, str] | None = None,
        cold_per_s: float = 0.0,
    ) -> None:
        self.cold_per_s = cold_per_s
        self.data_centre_by_replica = data_centre_by_replica or {}
        self.cold_ms_by_name = cold_ms_by_name or {}
        self.clock: Clock = loop_clock(asyncio.get_running_loop())
        self.counters = Counters()
        self.random = Random(3)
        self.services = [f"s{n}" for n in range(services)]
        self.endpoints_by_name = {
            f"{service}-{replica}": FakeForwardEndpoint(f"{service}-{replica}", service)
            for service in self.services
            for replica in replicas
        }
        self.pool = EndpointPool(
            "entry",
            self._open_channel,
            self.clock,
            self.counters,
            AuditTrail(self.clock),
            FORWARD_POLICY,
        )
        self.pool.subsets.connections_per_instance = 1
        retry_settings = retry_settings or RetryBudgetSettings(ratio=0.2, slack=1_000.0)
        self.context = ForwardContext(
            self.pool,
            self.clock,
            self.random,
            make_weighted_choice(DATA_CENTRE, Random(5), FORWARD_POLICY),
            self.counters,
            ForwardRetryBudget(retry_settings, FleetShares()),
        )
        self.listed = EndpointList()
        self.pool.on_leaving = lambda name: self.listed.record_departure(name, 0.0)
        self.last_request_number = 0

    async def start(self) -> "ForwardHarness":
        """Publish the services and their endpoints."""
        await self.publish(self.services)
        return self

    async def publish(self, service_names: list[str]) -> None:
        """Publish services, with all of their endpoints."""
        listed = self.listed
        for name, endpoint in self.endpoints_by_name.items():
            cold_for_ms = self.cold_ms_by_name.get(name, 0.0)
            data_centre = self.data_centre_by_replica.get(name[-1], DATA_CENTRE)
            entry = ListedEndpoint(
                name, endpoint.service, name, data_centre, slots=2, cold_for_ms=cold_for_ms
            )
            listed.put(name, entry, 0.0)
        services = {
            name: Service(
                name, 0, CONNECTIONS, (), cold_start_ms=3_000.0, cold_per_s=self.cold_per_s
            )
            for name in service_names
        }
        publication = listed.merge_into(Publication(1, "d", services_by_name=services))
        await self.pool.apply_publication(publication, ["entry"])
        self.pool.apply_leaving_list(listed.draining_names)

    def endpoints_of(self, service: str) -> list[FakeForwardEndpoint]:
        """Return the endpoints of a service."""
        return [
            endpoint for endpoint in self.endpoints_by_name.values() if endpoint.service == service
        ]

    def use_all_services(self) -> None:
        """Have the pool make its connection pools, as the first request to each service does."""
        for service in self.services:
            assert len(list(self.pool.endpoints_of(service))) == 3

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

    async def send(self, route: Route, time_left_ms: float | None = None) -> ForwardOutcome:
        """Forward one request."""
        self.last_request_number += 1
        call = ForwardCall(f"r{self.last_request_number}", "GET", "/x")
        plan = make_plan(call, route, self.clock.now_ms(), time_left_ms, self.random)
        return await forward(plan, self.context)

    def run_count(self, request_id: str) -> int:
        """Return how many times a request ran, at any endpoint."""
        return sum(
            endpoint.ran_ids.count(request_id) for endpoint in self.endpoints_by_name.values()
        )

    def received_count(self, request_id: str) -> int:
        """Return how many times a request reached an endpoint."""
        return sum(
            endpoint.received_ids.count(request_id) for endpoint in self.endpoints_by_name.values()
        )

    async def stop(self) -> None:
        """Close every connection."""
        await self.pool.stop()

    def _open_channel(self, address: str) -> Channel:
        return FakeForwardChannel(self.endpoints_by_name[address])


@asynccontextmanager
async def forward_harness(services: int, **fields: Any) -> AsyncIterator[ForwardHarness]:
    """Return a harness that runs until the end of the block.

    It is started within the test because a fixture would have another virtual clock.
    """
    harness = ForwardHarness(services, **fields)
    await harness.start()
    try:
        yield harness
    finally:
        await harness.stop()

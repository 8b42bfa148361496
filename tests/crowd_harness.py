"""Callers that crowd endpoints with few slots, through several instances on virtual time."""

import asyncio
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok, Result

from forward_harness import FakeForwardChannel, FakeForwardEndpoint, ForwardHarness
from radishmount.admission import RoomAdmission
from radishmount.audit import AuditTrail
from radishmount.codes import Code, RunStatus
from radishmount.endpoints import Failure, ForwardCall, ForwardReply, ForwardRequest, LoadReport
from radishmount.forwarding import forward, make_plan
from radishmount.gateway import make_room_request
from radishmount.routes import Route


SLOTS = 4
QUEUE_LENGTH = 8
INSTANCES = 4
RETRY_AFTER_MS = 200.0  # what the platform adapter says where a refusal has no time


@dataclass(frozen=True)
class Kind:
    """Callers who send `per_s` requests on `route`, which work for `work_ms` at each endpoint."""

    route: Route
    per_s: float
    work_ms: float


@dataclass
class Tally:
    """What the callers of one kind got; the refusals of a caller who returns count each."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refusals: int = 0
    slowest_refusal_ms: float = 0.0

    @property
    def in_time_ratio(self) -> float:
        """Return the share of the callers who were served within the target latency."""
        return self.in_time / self.sent

    @property
    def served_ratio(self) -> float:
        """Return the share of the callers who were served, in time or late."""
        return (self.in_time + self.late) / self.sent


@dataclass
class CrowdedEndpoint(FakeForwardEndpoint):
    """An endpoint with slots, a short queue and a load report, to which it adds `false_queue`."""

    false_queue: int = 0
    running: int = 0
    waiting: int = 0
    slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(SLOTS))

    def load(self) -> LoadReport:
        """Return its load report."""
        return LoadReport(SLOTS, self.running, self.waiting + self.false_queue)


class CrowdedChannel(FakeForwardChannel):
    """One connection to a `CrowdedEndpoint`."""

    _endpoint: CrowdedEndpoint

    async def exchange(
        self, request: ForwardRequest, remaining_ms: float
    ) -> Result[ForwardReply, Failure]:
        """Work for the time that the body of the request says, once a slot is free."""
        endpoint = self._endpoint
        if endpoint.unreachable:
            return Err(Failure(Code.NOT_CONNECTED))
        if endpoint.waiting >= QUEUE_LENGTH:
            return Err(Failure(Code.SHED, RunStatus.NOT_RUN, load=endpoint.load()))
        endpoint.waiting += 1
        try:
            await endpoint.slots.acquire()
        finally:
            endpoint.waiting -= 1
        endpoint.running += 1
        endpoint.ran_ids.append(request.call.request_id)
        try:
            await asyncio.sleep(float(request.call.body) / 1000.0)
        finally:
            endpoint.running -= 1
            endpoint.slots.release()
        signature = f"{endpoint.name}/{request.call.request_id}"
        return Ok(ForwardReply(request.service, 200, (), b"." * 16, signature, endpoint.load()))


class CrowdedInstance(ForwardHarness):
    """One of the instances that share the same endpoints."""

    def __init__(self, endpoints_by_name: dict[str, CrowdedEndpoint], seed: int) -> None:
        super().__init__(len({endpoint.service for endpoint in endpoints_by_name.values()}))
        self.endpoints_by_name = dict(endpoints_by_name)
        self.random = self.context.random = Random(seed)
        self.audit = AuditTrail(self.clock)
        endpoints_of = self.pool.endpoints_of
        room = RoomAdmission(endpoints_of, self.clock, self.random, self.counters, self.audit)
        self.room = room
        self.context.withholds_repeat = lambda plan, service: room.withholds_repeat(
            make_room_request(plan), service
        )

    def _open_channel(self, address: str) -> CrowdedChannel:
        return CrowdedChannel(self.endpoints_by_name[address])


class Crowd:
    """Some instances, the endpoints that they share, and what callers got by route."""

    def __init__(self, services: int, replicas: str = "abc") -> None:
        self.endpoints_by_name = {
            f"s{n}-{replica}": CrowdedEndpoint(f"s{n}-{replica}", f"s{n}")
            for n in range(services)
            for replica in replicas
        }
        self.instances = [CrowdedInstance(self.endpoints_by_name, n) for n in range(INSTANCES)]
        self.random = Random(11)
        self.tallies: defaultdict[str, Tally] = defaultdict(Tally)
        self.refused_ids: set[str] = set()

    async def run(self, kinds: Sequence[Kind], duration_s: float) -> dict[str, Tally]:
        """Send at the rates of the kinds, without waiting for answers; return what they got."""
        self.tallies.clear()
        async with asyncio.TaskGroup() as calls:

            async def arrive(kind: Kind) -> None:
                ends_at_s = asyncio.get_running_loop().time() + duration_s
                while asyncio.get_running_loop().time() < ends_at_s:
                    await asyncio.sleep(self.random.expovariate(kind.per_s))
                    calls.create_task(self._call(kind))

            for kind in kinds:
                calls.create_task(arrive(kind))
        for instance in self.instances:
            instance.room.update()
        return dict(self.tallies)

    async def _call(self, kind: Kind) -> None:
        """Send one request, and once more after a refusal or, if it may run twice, a failure."""
        clock, route = self.instances[0].clock, kind.route
        tally = self.tallies[route.name]
        tally.sent += 1
        began_ms = clock.now_ms()
        for attempt in (1, 2):
            arrived_ms = clock.now_ms()
            time_left_ms = began_ms + route.timeout_ms - arrived_ms
            request_id = f"{route.name}/{tally.sent}/{began_ms}/{attempt}"
            call = ForwardCall(request_id, "GET", "/x", body=str(kind.work_ms).encode())
            instance = self.random.choice(self.instances)
            plan = make_plan(call, route, arrived_ms, time_left_ms, self.random)
            refusal = instance.room.admit(make_room_request(plan))
            outcome = Err(refusal) if refusal else await forward(plan, instance.context)
            if isinstance(outcome, Ok):
                is_in_time = clock.now_ms() - began_ms <= route.target_latency_ms
                tally.in_time += is_in_time
                tally.late += not is_in_time
                return
            if outcome.err_value.ran is RunStatus.NOT_RUN:
                tally.refusals += 1
                took_ms = clock.now_ms() - arrived_ms
                tally.slowest_refusal_ms = max(tally.slowest_refusal_ms, took_ms)
                self.refused_ids.add(request_id)
            elif not route.idempotent:
                return
            wait_ms = outcome.err_value.retry_after_ms or RETRY_AFTER_MS
            await asyncio.sleep(min(wait_ms, time_left_ms / 3.0) / 1000.0)


async def make_crowd(services: int, replicas: str = "abc") -> Crowd:
    """Return a crowd whose instances know the endpoints. Its connections end with the test."""
    crowd = Crowd(services, replicas)
    for instance in crowd.instances:
        await instance.start()
    return crowd

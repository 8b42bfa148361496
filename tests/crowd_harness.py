"""Callers that crowd endpoints with few slots, through several instances on virtual time."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from result import Err, Ok, Result

from forward_harness import FakeForwardChannel, FakeForwardEndpoint, ForwardHarness
from radishmount.admission import RoomAdmission
from radishmount.audit import AuditTrail
from radishmount.codes import Code, RunStatus
from radishmount.endpoints import (
    Channel,
    Failure,
    ForwardCall,
    ForwardReply,
    ForwardRequest,
    LoadReport,
)
from radishmount.forwarding import forward, make_plan
from radishmount.gateway import make_room_request
from radishmount.routes import Route


@dataclass
class Kind:
    """Callers who send `per_s` requests on `route`, each of which works for `work_ms`.

    A refused caller repeats its request once when it was asked to, or `impatient` ones at once and
    up to five times.
    """

    route: Route
    per_s: float
    work_ms: float
    impatient: bool = False


@dataclass
class Tally:
    """What callers of one kind got."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refusals: int = 0
    unserved: int = 0
    slowest_refusal_ms: float = 0.0

    @property
    def in_time_ratio(self) -> float:
        """Return the share of the callers who were served within the target latency."""
        return self.in_time / max(1, self.sent)


@dataclass
class CrowdedEndpoint(FakeForwardEndpoint):
    """An endpoint with `slots`, a short queue and a load report, if it `reports`."""

    slots: int = 4
    queue_length: int = 8
    reports: bool = True
    down: bool = False
    false_queue: int = 0
    running: int = 0
    waiting: int = 0
    free_slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(4))

    def load(self) -> LoadReport:
        """Return its load report."""
        if not self.reports:
            return LoadReport()
        return LoadReport(self.slots, self.running, self.waiting + self.false_queue)


class CrowdedChannel(FakeForwardChannel):
    """One connection to a `CrowdedEndpoint`."""

    _endpoint: CrowdedEndpoint

    async def exchange(
        self, request: ForwardRequest, remaining_ms: float
    ) -> Result[ForwardReply, Failure]:
        """Work for the time that the body of the request says, once a slot is free."""
        endpoint = self._endpoint
        if endpoint.down:
            return Err(Failure(Code.NOT_CONNECTED))
        if endpoint.waiting >= endpoint.queue_length:
            return Err(Failure(Code.SHED, RunStatus.NOT_RUN, load=endpoint.load()))
        endpoint.waiting += 1
        try:
            await endpoint.free_slots.acquire()
        finally:
            endpoint.waiting -= 1
        endpoint.running += 1
        try:
            await asyncio.sleep(float(request.call.body) / 1000.0)
        finally:
            endpoint.running -= 1
            endpoint.free_slots.release()
        signature = f"{endpoint.name}/{request.call.request_id}"
        return Ok(ForwardReply(request.service, 200, (), b"." * 16, signature, endpoint.load()))


class CrowdedInstance(ForwardHarness):
    """One of the instances that share the endpoints in `endpoints_by_name`."""

    def __init__(self, endpoints_by_name: dict[str, Any], services: int, seed: int) -> None:
        super().__init__(services)
        self.endpoints_by_name = endpoints_by_name
        self.random = self.context.random = Random(seed)
        self.audit = AuditTrail(self.clock)
        self.room = RoomAdmission(
            self.pool.endpoints_of, self.clock, self.random, self.counters, self.audit
        )
        self.context.withholds_repeat = lambda plan, service: self.room.withholds_repeat(
            make_room_request(plan), service
        )

    def _open_channel(self, address: str) -> Channel:
        return CrowdedChannel(self.endpoints_by_name[address])


class Crowd:
    """Some instances, the endpoints that they share, and what callers got by kind."""

    def __init__(self, services: int, replicas: int = 3, instances: int = 4, seed: int = 11) -> None:
        self.endpoints_by_name = {
            f"s{n}-{r}": CrowdedEndpoint(f"s{n}-{r}", f"s{n}")
            for n in range(services)
            for r in range(replicas)
        }
        self.instances = [
            CrowdedInstance(self.endpoints_by_name, services, seed) for seed in range(instances)
        ]
        self.random = Random(seed)
        self.tallies: defaultdict[str, Tally] = defaultdict(Tally)
        self.ran_by_id: Counter[str] = Counter()
        self.sent_count = 0

    async def run(self, kinds: Sequence[Kind], duration_s: float) -> dict[str, Tally]:
        """Send at the rates of the kinds, without waiting for answers; return what they got."""
        self.tallies.clear()
        tasks: list[asyncio.Task[None]] = []

        async def arrive(kind: Kind) -> None:
            clock = self.instances[0].clock
            ends_at_ms = clock.now_ms() + 1000.0 * duration_s
            while clock.now_ms() < ends_at_ms:
                await asyncio.sleep(self.random.expovariate(kind.per_s))
                tasks.append(asyncio.create_task(self._call(kind)))

        await asyncio.gather(*(arrive(kind) for kind in kinds))
        await asyncio.gather(*tasks)
        return dict(self.tallies)

    async def _call(self, kind: Kind) -> None:
        route, clock = kind.route, self.instances[0].clock
        tally = self.tallies[route.name]
        tally.sent += 1
        self.sent_count += 1
        call_number = self.sent_count
        began_ms = clock.now_ms()
        for attempt in range(6 if kind.impatient else 2):
            instance = self.random.choice(self.instances)
            arrived_ms = clock.now_ms()
            time_left_ms = began_ms + route.timeout_ms - arrived_ms
            if time_left_ms <= 0.0:
                break
            call = ForwardCall(
                f"{call_number}.{attempt}",
                "GET",
                f"/{call_number}",
                body=str(kind.work_ms).encode(),
            )
            plan = make_plan(call, route, arrived_ms, time_left_ms, instance.random)
            refusal = instance.room.admit(make_room_request(plan))
            outcome = Err(refusal) if refusal else await forward(plan, instance.context)
            if isinstance(outcome, Ok):
                is_in_time = clock.now_ms() - began_ms <= route.target_latency_ms
                tally.in_time += is_in_time
                tally.late += not is_in_time
                return
            tally.refusals += 1
            refused_after_ms = clock.now_ms() - arrived_ms
            tally.slowest_refusal_ms = max(tally.slowest_refusal_ms, refused_after_ms)
            if outcome.err_value.ran is not RunStatus.NOT_RUN and not route.idempotent:
                break
            wait_ms = min(outcome.err_value.retry_after_ms or 200.0, time_left_ms / 3.0)
            await asyncio.sleep(0.005 if kind.impatient else wait_ms / 1000.0)
        tally.unserved += 1

    async def start(self) -> "Crowd":
        """Publish the services to every instance."""
        for instance in self.instances:
            await instance.start()
        return self

    async def stop(self) -> None:
        """Close every connection."""
        for instance in self.instances:
            await instance.stop()

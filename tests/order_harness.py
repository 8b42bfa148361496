"""A harness of instances that run orders at fake endpoints over a fake network, on virtual time."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from result import Err, Ok, Result

from fakes import EventLog, virtual_clock
from radishmount.audit import AuditTrail
from radishmount.border import build_publication, digest_of, parse_object
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.counters import Counters
from radishmount.endpoints import (
    Channel,
    Endpoint,
    EndpointPool,
    Failure,
    LoadReport,
    OrderAttemptOutcome,
    OrderReply,
    OrderRequest,
    SubRequest,
    SubRequestOutcome,
)
from radishmount.orders import (
    KeyAgreement,
    KeyClaim,
    OrderAction,
    OrderAnswer,
    OrderCall,
    OrderContext,
    OrderDependencies,
    OrderHandler,
    OrderLimits,
    OrderQuestion,
    make_order_handler,
    new_order_incarnation,
)
from radishmount.publication import Publication, Rule
from support import objects_for


SERVICE = "order-booking"
PEER_LATENCY_MS = 4.0
SECRET = b"a secret for tests only"
LIMITS = OrderLimits(
    ticket_valid_for_ms=20_000.0,
    outcome_kept_after_expiry_ms=20_000.0,
    key_lifetime_ms=20_000.0,
    max_records=50,
)


@dataclass
class FakeOrderEndpoint:
    """A fake endpoint that runs orders. A test may change its fields at any time.

    An order whose body was sent arrives after `transit_ms`, even if the sender is gone by then.
    """

    name: str
    log: EventLog
    run_ms: float = 10.0
    transit_ms: float = 2.0
    refuses_connections: bool = False
    silent_before_body: bool = False
    silent_after_body: bool = False
    crashes_after_run: bool = False
    shedding: bool = False
    runs_by_order_number: Counter[int] = field(default_factory=Counter)
    runs_by_request_id: Counter[str] = field(default_factory=Counter)

    def load(self) -> LoadReport:
        """Return the load report of the endpoint, which is always idle."""
        return LoadReport(6, 0, 0, False, frozenset())

    async def run(self, request: OrderRequest) -> OrderAttemptOutcome:
        """Receive one order after its transit, and run it or shed it."""
        await asyncio.sleep(self.transit_ms / 1000.0)
        what = f"order {request.body['number']}"
        if self.shedding:
            self.log.add(f"{self.name} sheds {what}")
            return Err(Failure(Code.SHED, RunStatus.NOT_RUN, load=self.load()))
        self.runs_by_order_number[request.body["number"]] += 1
        self.runs_by_request_id[request.request_id] += 1
        self.log.add(f"{self.name} runs {what}")
        await asyncio.sleep(self.run_ms / 1000.0)
        if self.crashes_after_run:
            return Err(Failure(Code.CONNECTION_LOST))
        while self.silent_after_body:
            await asyncio.sleep(0.1)
        result = {"confirmed_by": self.name}
        return Ok(OrderReply(request.request_id, request.attempt, result, self.load()))


class FakeOrderChannel:
    """One connection to a fake endpoint for orders."""

    def __init__(self, endpoint: FakeOrderEndpoint, sent_orders: set[asyncio.Task[Any]]) -> None:
        self._endpoint = endpoint
        self._sent_orders = sent_orders

    async def place(self, request: OrderRequest, remaining_ms: float) -> OrderAttemptOutcome:
        """Send an order, or fail as the endpoint is set to."""
        endpoint = self._endpoint
        if endpoint.refuses_connections:
            endpoint.log.add(f"{endpoint.name} refuses the connection")
            return Err(Failure(Code.NOT_CONNECTED))
        if endpoint.silent_before_body:
            endpoint.log.add(f"{endpoint.name} is silent before the body")
            await asyncio.sleep(0.25)
            return Err(Failure(Code.TIMED_OUT, request.gate.withdraw()))
        if not request.gate.release():
            return Err(Failure(Code.DEADLINE_PASSED))
        # The body was sent, but failures keep the default `ran`, `NOT_RUN`: the instance must not
        # rely on it.
        sent_order = asyncio.create_task(endpoint.run(request))
        self._sent_orders.add(sent_order)
        return await asyncio.shield(sent_order)

    async def exchange(self, request: SubRequest, remaining_ms: float) -> SubRequestOutcome:
        """Shed every search."""
        return Err(Failure(Code.SHED))

    async def probe(self) -> Result[LoadReport, Failure]:
        """Answer a probe."""
        if self._endpoint.refuses_connections:
            return Err(Failure(Code.NOT_CONNECTED))
        return Ok(self._endpoint.load())

    async def close(self) -> bool:
        """Close the connection."""
        return True


@dataclass
class OrderInstance:
    """One process of an instance, from its start to its crash."""

    handler: OrderHandler
    pool: EndpointPool
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    alive: bool = True

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run `coroutine` as a task that is cancelled when the instance crashes."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        return task


@dataclass
class OrderHarness:
    """Instances by name, their shared endpoints, and the network between the instances.

    The instances in `partitioned_names` and the others cannot reach each other.
    """

    clock: Clock
    log: EventLog
    publication: Publication
    endpoints_by_address: dict[str, FakeOrderEndpoint]
    random: Random
    limits: OrderLimits = LIMITS
    instances_by_name: dict[str, OrderInstance] = field(default_factory=dict)
    partitioned_names: set[str] = field(default_factory=set)
    sent_orders: set[asyncio.Task[Any]] = field(default_factory=set)

    @property
    def endpoints(self) -> list[FakeOrderEndpoint]:
        """Return the endpoints in the order of their addresses."""
        return list(self.endpoints_by_address.values())

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all instances."""
        return tuple(self.instances_by_name)

    def runs(self, number: int) -> int:
        """Return how often the order with this number ran, at all endpoints together."""
        return sum(endpoint.runs_by_order_number[number] for endpoint in self.endpoints)

    def runs_of_request(self, request_id: str) -> int:
        """Return how often an order ran because of this request."""
        return sum(endpoint.runs_by_request_id[request_id] for endpoint in self.endpoints)

    async def start(self, name: str, listed: tuple[str, ...]) -> None:
        """Start an instance, with empty records."""
        counters = Counters()

        def open_channel(address: str) -> Channel:
            return FakeOrderChannel(self.endpoints_by_address[address], self.sent_orders)

        pool = EndpointPool(name, open_channel, self.clock, counters, AuditTrail(self.clock))
        await pool.apply_publication(self.publication, listed)
        dependencies = OrderDependencies(
            own_name=name,
            incarnation=new_order_incarnation(self.clock, self.random),
            secret=SECRET,
            context=OrderContext(pool, self.clock, choose_first, counters),
            find_rule=lambda call: self.publication.rule_for(call.caller, call.service),
            admit=_admit_all,
            forward=self._forward_from(name),
            request_agreement=self._request_agreement_from(name),
            limits=self.limits,
        )
        handler = make_order_handler(dependencies)
        handler.keyed_orders.ownership.apply_list(listed, self.clock.now_ms())
        self.instances_by_name[name] = OrderInstance(handler, pool)

    async def crash(self, name: str) -> None:
        """End an instance at once, with all its tasks and connections."""
        instance = self.instances_by_name[name]
        instance.alive = False
        for task in instance.tasks:
            task.cancel()
        await asyncio.gather(*instance.tasks, return_exceptions=True)
        await instance.pool.stop()

    async def restart(self, name: str) -> None:
        """Crash an instance and start it again with the same instance list."""
        listed = self.instances_by_name[name].handler.keyed_orders.ownership.listed_names
        await self.crash(name)
        self.log.add(f"{name} starts again")
        await self.start(name, listed)

    async def order(self, name: str, request_id: str, number: int, **fields: Any) -> OrderAnswer:
        """Place one order at an instance as a caller; log the request and the answer."""
        call = OrderCall("workshop", SERVICE, {"number": number}, **fields)
        self.log.add(f"{name} <= {request_id} order {number}")
        handler = self.instances_by_name[name].handler
        task = self.instances_by_name[name].spawn(handler.place(request_id, call))
        return self._log_answer(name, request_id, await task)

    async def enquire(
        self, name: str, request_id: str, wish: OrderAction, ticket: str
    ) -> OrderAnswer:
        """Enquire about a ticket or void it; log the request and the answer."""
        self.log.add(f"{name} <= {request_id} {wish.value}")
        handler = self.instances_by_name[name].handler
        answer = await handler.enquire(request_id, wish, "workshop", ticket)
        return self._log_answer(name, request_id, answer)

    def issue_ticket(self, name: str) -> str:
        """Return a new ticket that the instance issued."""
        call = OrderCall("workshop", SERVICE, {})
        return self.instances_by_name[name].handler.issue_ticket(call).unwrap()

    async def stop(self) -> None:
        """Stop everything."""
        for name in self.names:
            await self.crash(name)
        for sent_order in self.sent_orders:
            sent_order.cancel()
        await asyncio.gather(*self.sent_orders, return_exceptions=True)

    def _log_answer(self, name: str, request_id: str, answer: OrderAnswer) -> OrderAnswer:
        outcome = answer.outcome
        code = outcome.code.name if outcome.code else "OK"
        replayed = " replayed" if answer.replayed else ""
        detail = f" ({outcome.detail})" if outcome.detail else ""
        self.log.add(f"{name} => {request_id} {outcome.ran.value} {code}{detail}{replayed}")
        return answer

    def _can_reach(self, one: str, other: str) -> bool:
        if other not in self.instances_by_name or not self.instances_by_name[other].alive:
            return False
        return (one in self.partitioned_names) == (other in self.partitioned_names)

    async def _call_peer(
        self, one: str, other: str, function: Callable[[OrderHandler], Awaitable[Any]]
    ) -> Any | None:
        """Return what `function` returns at `other`, or none if the request or answer is lost."""
        await asyncio.sleep(PEER_LATENCY_MS / 1000.0)
        if not self._can_reach(one, other):
            return None
        instance = self.instances_by_name[other]
        task = instance.spawn(function(instance.handler))
        try:
            answer = await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            return None
        await asyncio.sleep(PEER_LATENCY_MS / 1000.0)
        return answer if self._can_reach(one, other) else None

    def _forward_from(self, name: str) -> Any:
        async def forward(other: str, question: OrderQuestion) -> Result[OrderAnswer, Refusal]:
            answer = await self._call_peer(
                name, other, lambda handler: handler.handle_forwarded(question)
            )
            if answer is None:
                return Err(Refusal(Code.PEER_SILENT, other, RunStatus.UNKNOWN))
            return Ok(answer)

        return forward

    def _request_agreement_from(self, name: str) -> Any:
        async def request_agreement(other: str, claim: KeyClaim) -> KeyAgreement | None:
            async def answer(handler: OrderHandler) -> KeyAgreement:
                return handler.keyed_orders.answer_claim(claim)

            return await self._call_peer(name, other, answer)

        return request_agreement


class NoPermit:
    """A permit that counts nothing."""

    def release(self, *, answered: bool) -> None:
        """Do nothing."""


def choose_first(
    replicas: Iterable[Endpoint], excluded: Collection[str], now_ms: float
) -> Endpoint | None:
    """Return the first eligible endpoint, so that a test knows which one it will be."""
    for endpoint in replicas:
        if endpoint.name not in excluded and endpoint.is_eligible(now_ms):
            return endpoint
    return None


async def _admit_all(call: OrderCall, rule: Rule, deadline_at_ms: float) -> Any:
    return Ok(NoPermit())


async def start_order_harness(
    names: tuple[str, ...] = ("entry-a", "entry-b"),
    *,
    endpoints: int = 2,
    limits: OrderLimits = LIMITS,
) -> OrderHarness:
    """Start instances and endpoints, and wait until each endpoint was probed."""
    clock = virtual_clock()
    log = EventLog(clock)
    addresses = [f"127.0.0.{n}:80" for n in range(endpoints)]
    raw = objects_for({"catalogue-0": ["127.0.1.1:80"]}, addresses)
    raw = [item for item in raw if item.get("name") not in ("catalogue-0", "shard-0")]
    raw = [item for item in raw if item["kind"] != "collection" and item["name"] != "search"]
    for item in raw:
        if item["kind"] == "caller":
            item["rules"] = ["book"]
    objects = [parse_object(item).unwrap() for item in raw]
    publication = build_publication(1, digest_of(raw), objects).unwrap()
    by_address = {
        address: FakeOrderEndpoint(f"order-booking-{n}", log) for n, address in enumerate(addresses)
    }
    harness = OrderHarness(clock, log, publication, by_address, Random(7), limits)
    for name in names:
        await harness.start(name, names)
    await asyncio.sleep(0.1)
    return harness

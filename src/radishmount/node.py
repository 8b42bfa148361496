"""One entry instance: its aggregates, put together."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from result import Err, Ok, Result

from radishmount.admission import Admission, Permit
from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.control import (
    LEAVING_GRACE_MS,
    ControlPlane,
    ControlPlaneDependencies,
    OpenPeerFor,
    Platform,
    make_control_plane,
)
from radishmount.counters import Counters
from radishmount.endpoints import EndpointPool, OpenChannel, make_least_time_choice
from radishmount.fleet import (
    AddressAnswer,
    Fleet,
    InstanceList,
    LeavingNotifier,
    Peers,
    choose_addresses,
)
from radishmount.node_admission import make_node_admission
from radishmount.node_orders import NodeOrderDependencies, make_node_orders
from radishmount.orders import OrderCall, OrderContext, OrderHandler, new_order_incarnation
from radishmount.policy import DEFAULT_POLICY, QueryPolicy
from radishmount.publication import ActivePublication, Publication, ReadBundle, Rule, Shard
from radishmount.queries import (
    ExplainableRecord,
    QueryContext,
    Search,
    SearchAnswer,
    SearchCall,
    run_search,
)
from radishmount.tasks import TaskSupervisor


__all__ = ["Node", "NodeDependencies", "Platform", "make_node"]

LOAD_INTERVAL_MS = 1_000.0
SECRET_BYTES = 32


@dataclass(frozen=True, slots=True)
class NodeDependencies:
    """What an instance is handed from outside; `seeds` are peer addresses of its settings.

    `secret` is the same for the whole fleet; without one, tickets are good at one instance only.
    """

    name: str
    data_centre: str
    clock: Clock
    random: Random
    platform: Platform
    open_channel: OpenChannel
    read_bundle: ReadBundle
    open_peer_for: OpenPeerFor
    policy: QueryPolicy = DEFAULT_POLICY
    seeds: tuple[str, ...] = ()
    secret: bytes = b""


@dataclass(slots=True)
class Node:
    """The state of one entry instance. Callers and operators are answered from here."""

    dependencies: NodeDependencies
    control: ControlPlane
    pool: EndpointPool
    query_context: QueryContext
    orders: OrderHandler
    audit: AuditTrail
    counters: Counters
    admission: Admission
    tasks: TaskSupervisor

    @property
    def fleet(self) -> Fleet:
        """Return the instances as this one sees them."""
        return self.control.fleet

    @property
    def active_publication(self) -> ActivePublication:
        """Return the publication in force."""
        return self.control.active_publication

    @property
    def peers(self) -> Peers:
        """Return the streams to the other instances."""
        return self.control.peers

    def start(self) -> None:
        """Start what keeps the instance in step with the fleet."""
        self.control.start()
        self.tasks.start("load", self._tell_load)

    async def stop(self) -> None:
        """Finish the orders in flight, end every task and close every connection."""
        await self.orders.runner.drain()
        await self.tasks.stop()
        await self.control.stop()
        await self.pool.stop()

    def leave(self, grace_ms: float = LEAVING_GRACE_MS) -> None:
        """Begin a graceful stop: callers are sent elsewhere, requests answered for `grace_ms`."""
        self.control.leave(grace_ms)

    def is_leaving(self) -> bool:
        """Tell whether callers are to be moved to other instances."""
        return self.control.is_leaving()

    def new_request_id(self) -> str:
        """Return a request id that no other request has."""
        return f"{self.dependencies.name}-{self.dependencies.random.getrandbits(64):016x}"

    def addresses(self, caller: str, data_centre: str) -> Result[AddressAnswer, Refusal]:
        """Return the addresses that a caller is to use, nearest to its data centre first."""
        known = self.active_publication.current.callers_by_name.get(caller)
        if known is None:
            return Err(Refusal(Code.UNKNOWN_CALLER, detail=caller))
        return Ok(choose_addresses(self.fleet, caller, data_centre or known.data_centre))

    async def search(self, request_id: str, call: SearchCall) -> Result[SearchAnswer, Refusal]:
        """Admit a search and answer it."""
        arrived_at_ms = self.dependencies.clock.now_ms()
        taken = await self.may_take_request(call.deadline_ms)
        if isinstance(taken, Err):
            return taken
        publication = self.active_publication.current
        collection = publication.collections_by_name.get(call.collection)
        if collection is None:
            return Err(Refusal(Code.UNKNOWN_COLLECTION, detail=call.collection))
        found = publication.rule_for(call.caller, call.collection)
        if isinstance(found, Err):
            return found
        rule = found.ok_value
        deadline_ms = min(call.deadline_ms or rule.deadline_ms, rule.deadline_ms)
        deadline_at_ms = arrived_at_ms + deadline_ms
        admitted = await self.admission.admit(call.caller, rule, deadline_at_ms)
        if isinstance(admitted, Err):
            return admitted
        search = Search(
            request_id=request_id,
            caller=call.caller,
            collection=collection,
            rule=rule,
            terms=call.terms,
            deadline_at_ms=deadline_at_ms,
            deadline_ms=deadline_ms,
        )
        answer: Result[SearchAnswer, Refusal] | None = None
        try:
            answer = await run_search(search, self._shards_of(collection.name), self.query_context)
        finally:
            admitted.ok_value.release(answered=answer is not None and _is_complete(answer))
        return answer

    def _shards_of(self, collection: str) -> Callable[[], Sequence[Shard]]:
        """Return a function that reads the shards of a collection from what is in force."""
        return lambda: self.active_publication.current.shards_by_collection.get(collection, ())

    async def admit_order(
        self, call: OrderCall, rule: Rule, deadline_at_ms: float
    ) -> Result[Permit, Refusal]:
        """Admit an order at the instance that runs it."""
        clock = self.dependencies.clock
        taken = await self.may_take_request(clock.remaining_ms(deadline_at_ms))
        if isinstance(taken, Err):
            return taken
        return await self.admission.admit(call.caller, rule, deadline_at_ms)

    async def may_take_request(self, deadline_ms: float | None) -> Result[None, Refusal]:
        """Tell whether a new request is taken; after a pause it waits for a renewed view."""
        if not self.control.has_started:
            return Err(Refusal(Code.NOT_READY))
        if not self.control.accepts_requests():
            return Err(Refusal(Code.INSTANCE_LEAVING))
        if not await self.control.wait_until_fresh(deadline_ms):
            return Err(Refusal(Code.NOT_READY, detail="the view is being renewed after a pause"))
        return Ok(None)

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.control.is_ready()

    def explain(self, request_id: str) -> ExplainableRecord | None:
        """Return the record of a slow, partial or refused request, if it is kept."""
        return self.query_context.explain_log.find(request_id)

    def gauges(self) -> dict[str, float]:
        """Return the present values that the metrics show."""
        in_force = self.active_publication
        version = in_force.current.version
        age_ms = self.dependencies.clock.now_ms() - in_force.active_since_ms if version else 0.0
        return {
            "ready": float(self.is_ready()),
            "leaving": float(self.is_leaving()),
            "publication_version": float(version),
            "publication_age_ms": age_ms,
            "instance_list_version": float(self.fleet.list_version),
            "instances_listed": float(len(self.fleet.listed_names)),
            "endpoints_known": float(len(self.pool.connection_pools_by_name)),
        }

    def status(self) -> dict[str, Any]:
        """Return the state of the instance in plain values."""
        return {
            "name": self.dependencies.name,
            "data_centre": self.dependencies.data_centre,
            "ready": self.is_ready(),
            **self.control.status(),
        }

    async def take_publication(self, publication: Publication) -> None:
        """Hand a new publication to the parts that follow it."""
        await self.pool.apply_publication(publication, self.fleet.listed_names)

    async def take_list(self, instance_list: InstanceList) -> None:
        """Hand a new instance list to the parts that follow it."""
        names = self.fleet.listed_names
        self.admission.set_instance_count(len(names))
        self.orders.keyed_orders.ownership.apply_list(names, self.dependencies.clock.now_ms())
        await self.pool.apply_publication(self.active_publication.current, names)
        self.pool.apply_leaving_list(instance_list.leaving_endpoints)

    def load(self) -> float:
        """Return the share of the instance's capacity in use, at least 1.0 when it is of no use."""
        return load_of(self.pool, self.dependencies.clock.now_ms())

    async def _tell_load(self) -> None:
        while True:
            await self.dependencies.clock.sleep_ms(LOAD_INTERVAL_MS)
            self.control.take_load(self.load())


def _is_complete(answer: Result[SearchAnswer, Refusal]) -> bool:
    return isinstance(answer, Ok) and answer.ok_value.coverage.complete


def load_of(pool: EndpointPool, now_ms: float) -> float:
    """Return the load of an instance: in flight over slots, or 1.0 when most endpoints are lost.

    An instance that cannot reach the endpoints which others reach is cut off; callers are sent
    elsewhere just as when it is overloaded.
    """
    connection_pools = pool.connection_pools_by_name.values()
    if not connection_pools:
        return 0.0
    fit = [
        connection_pool.endpoint
        for connection_pool in connection_pools
        if connection_pool.endpoint.is_eligible(now_ms)
    ]
    if 2 * len(fit) < len(connection_pools):
        return 1.0
    slots = sum(endpoint.slots for endpoint in fit)
    in_flight = sum(endpoint.in_flight for endpoint in fit)
    return min(0.99, in_flight / max(1, slots))


def make_node(parts: NodeDependencies, audit: AuditTrail, counters: Counters | None = None) -> Node:
    """Return an instance that is not started yet."""
    counters = counters or Counters()
    pool = EndpointPool(parts.name, parts.open_channel, parts.clock, counters, audit, parts.policy)
    choose = make_least_time_choice(parts.data_centre, Random(parts.random.random()), parts.policy)
    control_parts = ControlPlaneDependencies(
        name=parts.name,
        data_centre=parts.data_centre,
        clock=parts.clock,
        random=parts.random,
        platform=parts.platform,
        read_bundle=parts.read_bundle,
        open_peer_for=parts.open_peer_for,
        seeds=parts.seeds,
    )
    control = make_control_plane(control_parts, audit, counters)
    tools = QueryContext(pool, parts.clock, choose, counters, parts.policy)
    wiring = NodeOrderDependencies(
        own_name=parts.name,
        incarnation=new_order_incarnation(parts.clock, parts.random),
        secret=parts.secret or parts.random.randbytes(SECRET_BYTES),
        clock=parts.clock,
        active_publication=control.active_publication,
        peers=control.peers,
        admit=lambda call, rule, deadline_at_ms: node.admit_order(call, rule, deadline_at_ms),
    )
    node = Node(
        dependencies=parts,
        control=control,
        pool=pool,
        query_context=tools,
        orders=make_node_orders(wiring, OrderContext(pool, parts.clock, choose, counters)),
        audit=audit,
        counters=counters,
        admission=make_node_admission(
            parts.clock, counters, pool, control.fleet, control.active_publication
        ),
        tasks=TaskSupervisor(parts.clock, audit, counters),
    )
    node.active_publication.on_change.append(node.take_publication)
    node.control.list_watch.on_change.append(node.take_list)
    node.control.on_forget.append(pool.expire_health)
    node.control.membership.load = node.load
    news = LeavingNotifier(
        node.peers,
        counters,
        users_of=pool.peers_sharing,
        on_leaving_hint=pool.apply_leaving_hint,
    )
    news.start()
    pool.on_leaving = news.notify_leaving
    return node

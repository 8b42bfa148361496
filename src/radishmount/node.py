"""An instance that answers searches and orders, built from its aggregates."""

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

LOAD_REPORT_INTERVAL_MS = 1_000.0
SECRET_BYTES = 32


@dataclass(frozen=True, slots=True)
class NodeDependencies:
    """What an instance needs from outside. `seeds` are the peer addresses in its settings.

    `secret` is shared by the whole fleet. Without it, a ticket is valid only at the instance that
    issued it.
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
    """The state of one instance, and the operations that callers and operators use."""

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
        """Return the instances of the fleet, as this one knows them."""
        return self.control.fleet

    @property
    def active_publication(self) -> ActivePublication:
        """Return the holder of the active publication."""
        return self.control.active_publication

    @property
    def peers(self) -> Peers:
        """Return the streams to the other instances."""
        return self.control.peers

    def start(self) -> None:
        """Start the control plane and the reports of the instance's load."""
        self.control.start()
        self.tasks.start("load", self._report_load)

    async def stop(self) -> None:
        """Wait for the orders in flight, then end every task and close every connection."""
        await self.orders.runner.drain()
        await self.tasks.stop()
        await self.control.stop()
        await self.pool.stop()

    def leave(self, grace_ms: float = LEAVING_GRACE_MS) -> None:
        """Begin a graceful stop: send callers elsewhere, accept requests for another `grace_ms`."""
        self.control.leave(grace_ms)

    def is_leaving(self) -> bool:
        """Return whether the instance leaves, so that callers should use others."""
        return self.control.is_leaving()

    def new_request_id(self) -> str:
        """Return a unique request id."""
        return f"{self.dependencies.name}-{self.dependencies.random.getrandbits(64):016x}"

    def addresses(self, caller: str, data_centre: str) -> Result[AddressAnswer, Refusal]:
        """Return the addresses that a caller should use, those nearest to its data centre first."""
        known = self.active_publication.current.callers_by_name.get(caller)
        if known is None:
            return Err(Refusal(Code.UNKNOWN_CALLER, detail=caller))
        return Ok(choose_addresses(self.fleet, caller, data_centre or known.data_centre))

    async def search(self, request_id: str, call: SearchCall) -> Result[SearchAnswer, Refusal]:
        """Admit a search, run it and return its answer."""
        arrived_at_ms = self.dependencies.clock.now_ms()
        accepted = await self.accept_request(call.deadline_ms)
        if isinstance(accepted, Err):
            return accepted
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
        """Return a function that reads the shards of a collection in the active publication."""
        return lambda: self.active_publication.current.shards_by_collection.get(collection, ())

    async def admit_order(
        self, call: OrderCall, rule: Rule, deadline_at_ms: float
    ) -> Result[Permit, Refusal]:
        """Admit an order that this instance runs."""
        clock = self.dependencies.clock
        accepted = await self.accept_request(clock.remaining_ms(deadline_at_ms))
        if isinstance(accepted, Err):
            return accepted
        return await self.admission.admit(call.caller, rule, deadline_at_ms)

    async def accept_request(self, deadline_ms: float | None) -> Result[None, Refusal]:
        """Return ok if a new request is accepted. After a pause, wait for the refreshed view."""
        if not self.control.has_started:
            return Err(Refusal(Code.NOT_READY))
        if not self.control.accepts_requests():
            return Err(Refusal(Code.INSTANCE_LEAVING))
        if not await self.control.wait_until_fresh(deadline_ms):
            return Err(Refusal(Code.NOT_READY, detail="the view is being refreshed after a pause"))
        return Ok(None)

    def is_ready(self) -> bool:
        """Return whether callers may be sent to this instance."""
        return self.control.is_ready()

    def explain(self, request_id: str) -> ExplainableRecord | None:
        """Return the record of a slow, partial or refused request, if there still is one."""
        return self.query_context.explain_log.find(request_id)

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges."""
        active_publication = self.active_publication
        version = active_publication.current.version
        age_ms = (
            self.dependencies.clock.now_ms() - active_publication.active_since_ms
            if version
            else 0.0
        )
        return {
            "ready": float(self.is_ready()),
            "leaving": float(self.is_leaving()),
            "publication_version": float(version),
            "publication_age_ms": age_ms,
            "instance_list_version": float(self.fleet.list_version),
            "instances_listed": float(len(self.fleet.listed_names)),
            "endpoints_known": float(len(self.pool.connection_pools_by_name)),
            "evacuated_data_centres": float(len(self.pool.evacuated_data_centres)),
        }

    def status(self) -> dict[str, Any]:
        """Return the state of the instance in plain values."""
        return {
            "name": self.dependencies.name,
            "data_centre": self.dependencies.data_centre,
            "ready": self.is_ready(),
            **self.control.status(),
        }

    async def apply_publication(self, publication: Publication) -> None:
        """Apply a new publication to the endpoints."""
        await self.pool.apply_publication(publication, self.fleet.listed_names)

    async def apply_instance_list(self, instance_list: InstanceList) -> None:
        """Apply a new instance list to admission, key ownership and endpoints."""
        names = self.fleet.listed_names
        self.admission.set_instance_count(len(names))
        self.orders.keyed_orders.ownership.apply_list(names, self.dependencies.clock.now_ms())
        await self.pool.apply_publication(self.active_publication.current, names)
        self.pool.apply_leaving_list(instance_list.leaving_endpoints)

    def load(self) -> float:
        """Return the load of the instance, from 0.0 to 1.0; see `load_of`."""
        return load_of(self.pool, self.dependencies.clock.now_ms())

    async def _report_load(self) -> None:
        while True:
            await self.dependencies.clock.sleep_ms(LOAD_REPORT_INTERVAL_MS)
            self.control.set_load(self.load())


def _is_complete(answer: Result[SearchAnswer, Refusal]) -> bool:
    return isinstance(answer, Ok) and answer.ok_value.coverage.complete


def load_of(pool: EndpointPool, now_ms: float) -> float:
    """Return requests in flight per slot, below 1.0, or 1.0 if most endpoints are not eligible.

    An instance that cannot reach most endpoints is treated as overloaded, so that callers are
    sent to instances that reach them. Evacuated endpoints do not count, unless all of them are.
    """
    connection_pools = [
        connection_pool
        for connection_pool in pool.connection_pools_by_name.values()
        if not connection_pool.endpoint.is_evacuated
    ]
    if not connection_pools:
        return 1.0 if pool.connection_pools_by_name else 0.0
    eligible = [
        connection_pool.endpoint
        for connection_pool in connection_pools
        if connection_pool.endpoint.is_eligible(now_ms)
    ]
    if 2 * len(eligible) < len(connection_pools):
        return 1.0
    slots = sum(endpoint.slots for endpoint in eligible)
    in_flight = sum(endpoint.in_flight for endpoint in eligible)
    return min(0.99, in_flight / max(1, slots))


def make_node(
    dependencies: NodeDependencies, audit: AuditTrail, counters: Counters | None = None
) -> Node:
    """Return an instance that is not started yet."""
    counters = counters or Counters()
    pool = EndpointPool(
        dependencies.name,
        dependencies.open_channel,
        dependencies.clock,
        counters,
        audit,
        dependencies.policy,
    )
    choose = make_least_time_choice(
        dependencies.data_centre, Random(dependencies.random.random()), dependencies.policy
    )
    control_dependencies = ControlPlaneDependencies(
        name=dependencies.name,
        data_centre=dependencies.data_centre,
        clock=dependencies.clock,
        random=dependencies.random,
        platform=dependencies.platform,
        read_bundle=dependencies.read_bundle,
        open_peer_for=dependencies.open_peer_for,
        seeds=dependencies.seeds,
    )
    control = make_control_plane(control_dependencies, audit, counters)
    query_context = QueryContext(pool, dependencies.clock, choose, counters, dependencies.policy)
    order_dependencies = NodeOrderDependencies(
        own_name=dependencies.name,
        incarnation=new_order_incarnation(dependencies.clock, dependencies.random),
        secret=dependencies.secret or dependencies.random.randbytes(SECRET_BYTES),
        clock=dependencies.clock,
        active_publication=control.active_publication,
        peers=control.peers,
        admit=lambda call, rule, deadline_at_ms: node.admit_order(call, rule, deadline_at_ms),
    )
    node = Node(
        dependencies=dependencies,
        control=control,
        pool=pool,
        query_context=query_context,
        orders=make_node_orders(
            order_dependencies, OrderContext(pool, dependencies.clock, choose, counters)
        ),
        audit=audit,
        counters=counters,
        admission=make_node_admission(
            dependencies.clock, counters, pool, control.fleet, control.active_publication
        ),
        tasks=TaskSupervisor(dependencies.clock, audit, counters),
    )
    node.active_publication.on_change.append(node.apply_publication)
    node.control.list_updater.on_change.append(node.apply_instance_list)
    node.control.on_invalidate.append(pool.expire_health)
    node.control.membership.current_load = node.load
    leaving_notifier = LeavingNotifier(
        node.peers,
        counters,
        peers_sharing=pool.peers_sharing,
        on_leaving_hint=pool.apply_leaving_hint,
    )
    leaving_notifier.start()
    pool.on_leaving = leaving_notifier.notify_leaving
    return node

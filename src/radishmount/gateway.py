"""One instance that forwards requests by routes to endpoints that discovery lists."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from result import Err

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.control import (
    OpenPeerFor,
    SeededControlPlane,
    SeededControlPlaneDependencies,
    make_seeded_control_plane,
)
from radishmount.counters import Counters
from radishmount.discovery import EndpointList, Store, StoreFollower
from radishmount.endpoints import EndpointPool, ForwardCall, OpenChannel, make_weighted_choice
from radishmount.fleet import (
    Instance,
    SlowEndpointGossip,
    choose_preferred,
    fleet_shares,
    preferred_names,
)
from radishmount.forwarding import (
    ForwardContext,
    ForwardOutcome,
    ForwardRecord,
    ForwardRetryBudget,
    ForwardVerdict,
    ForwardView,
    RetryBudgetSettings,
    forward,
    make_plan,
)
from radishmount.logs import Emit, RequestLog
from radishmount.policy import QueryPolicy
from radishmount.publication import ActivePublication, Publication, ReadBundle
from radishmount.queries import ExplainableRecord, ExplainLog
from radishmount.tasks import TaskSupervisor


__all__ = ["Gateway", "GatewayDependencies", "make_gateway"]

FORWARD_POLICY = QueryPolicy(probes=False, adaptive_limits=False)
ASSUMED_INSTANCES = 8  # the usual fleet, for the shares of connections until the roster is known
ADDRESSES_VALID_MS = 2_000.0  # callers leave an instance that is lost within this time
MAX_ADDRESSES = 64  # as many as callers read
CARRIERS_CHECK_MS = 250.0  # a fraction of the time for which callers keep addresses
SETTLE_CHECK_MS = 100.0  # a fraction of the time in which a fleet finds itself


@dataclass(frozen=True, slots=True)
class GatewayDependencies:
    """What an instance is handed from outside."""

    own: Instance
    seeds: tuple[str, ...]
    clock: Clock
    random: Random
    store: Store
    open_channel: OpenChannel
    open_peer_for: OpenPeerFor
    read_bundle: ReadBundle
    bounds: RetryBudgetSettings
    addresses_valid_for_ms: float
    changes_due_ms: float
    emit: Emit = lambda change, fields: None


@dataclass(frozen=True, slots=True)
class ConnectAnswer:
    """The addresses that callers may connect to, and for how long the answer holds."""

    addresses: tuple[str, ...]
    valid_for_ms: float


@dataclass(slots=True)
class Gateway:
    """The state of one instance. Every front end forwards its callers' requests through it."""

    dependencies: GatewayDependencies
    control: SeededControlPlane
    active_publication: ActivePublication
    endpoints: EndpointList
    follower: StoreFollower
    pool: EndpointPool
    forward_context: ForwardContext
    slow_endpoint_gossip: SlowEndpointGossip
    audit: AuditTrail
    counters: Counters
    tasks: TaskSupervisor
    leaving: bool = False
    explain_log: ExplainLog = field(default_factory=ExplainLog)
    in_flight: int = 0
    preferred_names: frozenset[str] = frozenset()

    def start(self) -> None:
        """Start the tasks that keep the instance in step."""
        self.control.start()
        self.slow_endpoint_gossip.start()
        self.tasks.start("spread paces", self.slow_endpoint_gossip.run)
        self.tasks.start("follow store", self.follower.run)
        self.tasks.start("settle roster", self._settle)
        self.tasks.start("follow carriers", self._follow_carriers)
        self.tasks.start("tell of changes", self.follower.run_change_notifications)

    async def stop(self) -> None:
        """End every task and close every connection."""
        await self.tasks.stop()
        await self.control.stop()
        await self.pool.stop()
        await self.dependencies.store.close()

    @property
    def publication(self) -> Publication:
        """Return the configuration in force."""
        return self.active_publication.current

    def leave(self) -> None:
        """Begin a graceful stop: callers are sent elsewhere, requests in flight go on."""
        self.leaving = True
        self.control.leave()

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return not self.leaving and self.publication.version > 0 and bool(self.endpoints.by_name)

    async def handle(
        self, call: ForwardCall, host: str, arrived_at_ms: float, time_left_ms: float | None
    ) -> ForwardOutcome:
        """Forward a request by the route of its host and path, with a view as of now."""
        await self.control.freshness.wait_until_fresh()
        if self.publication.version == 0:
            return self._refuse(call, Refusal(Code.NOT_READY))
        path = call.target.partition("?")[0]
        route = self.publication.routes.find(host, path)
        if route is None:
            return self._refuse(call, Refusal(Code.UNKNOWN_ROUTE, detail=f"{host}{path}"))
        tools = self.forward_context
        lag_ms = tools.event_loop_lag.reply_margin_ms()
        plan = make_plan(call, route, arrived_at_ms, time_left_ms, tools.random, lag_ms)
        self.in_flight += 1
        try:
            return await forward(plan, self.forward_context)
        finally:
            self.in_flight -= 1

    def view(self) -> ForwardView:
        """Return what requests are handled by now: the configuration, and the endpoints' age."""
        return ForwardView(self.publication.version, self.follower.age_ms())

    def new_request_id(self) -> str:
        """Return an id for a request of an operator."""
        return f"{self.dependencies.own.name}-{self.dependencies.random.getrandbits(64):016x}"

    def is_leaving(self) -> bool:
        """Tell whether callers are to go to another instance."""
        return self.leaving

    def explain(self, request_id: str) -> ExplainableRecord | None:
        """Return the record of a request that was out of the ordinary, if it is kept."""
        return self.explain_log.find(request_id)

    def gauges(self) -> dict[str, float]:
        """Return the present values that the metrics show."""
        view = self.view()
        return {
            "ready": float(self.is_ready()),
            "leaving": float(self.leaving),
            "publication_version": float(view.version),
            "publication_age_ms": self.active_publication.age_ms(),
            "endpoints_age_ms": view.endpoints_age_ms,
            "endpoints_known": float(len(self.pool.connection_pools_by_name)),
            "store_reached": float(self.follower.is_store_reachable),
            "instances_listed": float(len(self.control.fleet.listed_names)),
            "peer_streams": float(len(self.control.peers.sessions_by_name)),
            "forwarding": float(self.in_flight),
        }

    def status(self) -> dict[str, Any]:
        """Return the state of the instance in plain values."""
        return {
            "name": self.dependencies.own.name,
            "data_centre": self.dependencies.own.data_centre,
            "instances": self.control.fleet.listed_names,
            **self.gauges(),
        }

    def _refuse(self, call: ForwardCall, refusal: Refusal) -> ForwardOutcome:
        """Refuse a request that no route takes, and keep a record of it."""
        view = self.view()
        record = ForwardRecord(
            request_id=call.request_id,
            route="",
            verdict=ForwardVerdict.REFUSED,
            took_ms=0.0,
            allowed_ms=0.0,
            parts=0,
            missing=(),
            attempts=(),
            version=view.version,
            endpoints_age_ms=view.endpoints_age_ms,
            refusal=refusal,
        )
        self.counters.add("requests", ForwardVerdict.REFUSED.value)
        self.forward_context.on_record(record)
        return Err(refusal)

    def addresses(self, data_centre: str) -> ConnectAnswer:
        """Return the addresses for a caller in `data_centre`."""
        nearest = choose_preferred(self.control.fleet, data_centre, MAX_ADDRESSES)
        addresses = tuple(instance.caller_address for instance in nearest)
        valid_for_ms = min(ADDRESSES_VALID_MS, self.dependencies.addresses_valid_for_ms)
        return ConnectAnswer(addresses, valid_for_ms)

    async def renew_endpoints(self) -> None:
        """Bring the links in step with the configuration, the endpoints and the instances."""
        joined = self.endpoints.merge_into(self.publication)
        is_carrier = self.dependencies.own.name in self.preferred_names
        carriers = (
            len(self.preferred_names) if is_carrier and self.control.roster.is_settled() else None
        )
        await self.pool.apply_publication(joined, self._sharing_instances(), carriers)
        self.pool.apply_leaving_list(self.endpoints.draining_names)

    async def take_roster(self) -> None:
        """Divide connections and repeats anew over the instances that are known."""
        self.preferred_names = preferred_names(self.control.fleet)
        if self.control.roster.is_settled():
            self.forward_context.retry_budget.set_shares(
                fleet_shares(self.control.fleet, self.preferred_names)
            )
        await self.renew_endpoints()

    def _sharing_instances(self) -> list[str]:
        """Return the names over which connections are divided, assumed ones while few are known."""
        names = self.control.fleet.listed_names
        if self.control.roster.is_settled():
            return names
        return names + [f"assumed {n}" for n in range(len(names), ASSUMED_INSTANCES)]

    async def _settle(self) -> None:
        """Take the roster as it is once nobody else is to be expected."""
        while not self.control.roster.is_settled():
            await self.dependencies.clock.sleep_ms(SETTLE_CHECK_MS)
        await self.take_roster()

    async def _follow_carriers(self) -> None:
        """Divide anew when callers are sent to other instances, and tell of this one's load."""
        while True:
            due_at_ms = self.dependencies.clock.now_ms() + CARRIERS_CHECK_MS
            await self.dependencies.clock.sleep_ms(CARRIERS_CHECK_MS)
            self.forward_context.event_loop_lag.add(
                max(0.0, self.dependencies.clock.now_ms() - due_at_ms)
            )
            self.control.fleet.members.update_own_load(self.forward_context.event_loop_lag.load())
            if preferred_names(self.control.fleet) != self.preferred_names:
                await self.take_roster()


def make_gateway(
    parts: GatewayDependencies, audit: AuditTrail, counters: Counters | None = None
) -> Gateway:
    """Return an instance that is not started yet."""
    counters = counters or Counters()
    clock, random = parts.clock, parts.random
    own = parts.own
    pool = EndpointPool(own.name, parts.open_channel, clock, counters, audit, FORWARD_POLICY)
    pool.subsets.connections_per_instance = 1
    in_force = ActivePublication(parts.read_bundle, audit, counters, clock)
    endpoints = EndpointList()
    choose = make_weighted_choice(own.data_centre, Random(random.random()), FORWARD_POLICY)
    tools = ForwardContext(pool, clock, random, choose, counters, ForwardRetryBudget(parts.bounds))

    async def renew() -> None:
        await gateway.renew_endpoints()

    async def take_publication(publication: Publication) -> None:
        await gateway.renew_endpoints()

    follower = StoreFollower(
        store=parts.store,
        endpoints=endpoints,
        active_publication=in_force,
        clock=clock,
        random=random,
        audit=audit,
        counters=counters,
        on_change=renew,
        changes_due_ms=parts.changes_due_ms,
    )
    seeded = SeededControlPlaneDependencies(own, parts.seeds, clock, random, parts.open_peer_for)
    control = make_seeded_control_plane(seeded, in_force, follower, audit, counters)
    pace_spread = SlowEndpointGossip(
        control.peers,
        clock,
        counters,
        find_slow=pool.slow_endpoints,
        on_hints=pool.apply_slow_endpoint_hints,
        preferred_names=lambda: gateway.preferred_names,
    )
    gateway = Gateway(
        dependencies=parts,
        control=control,
        active_publication=in_force,
        endpoints=endpoints,
        follower=follower,
        pool=pool,
        forward_context=tools,
        slow_endpoint_gossip=pace_spread,
        audit=audit,
        counters=counters,
        tasks=TaskSupervisor(clock, audit, counters),
    )
    request_log = RequestLog(clock, counters, parts.emit)

    def tell(record: ForwardRecord) -> None:
        gateway.explain_log.add(record)
        request_log.write(record)

    tools.view = gateway.view
    tools.on_record = tell
    in_force.on_change.append(take_publication)
    control.roster.on_change.append(gateway.take_roster)
    return gateway

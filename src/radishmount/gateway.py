"""An instance that forwards requests, by route, to the endpoints that discovery lists."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Any

from result import Err

from radishmount.admission import RoomAdmission, RoomRequest
from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.control import (
    OpenPeerFor,
    SeededControlPlane,
    SeededControlPlaneDependencies,
    make_seeded_control_plane,
)
from radishmount.counters import Counters
from radishmount.discovery import EndpointList, Store, StoreFollower
from radishmount.endpoints import (
    ColdRateSettings,
    EndpointPool,
    ForwardCall,
    OpenChannel,
    make_weighted_choice,
)
from radishmount.fleet import (
    Instance,
    MemberState,
    SlowEndpointGossip,
    choose_beside_replicas,
    choose_preferred,
    fleet_shares,
    preferred_names,
)
from radishmount.forwarding import (
    ForwardContext,
    ForwardOutcome,
    ForwardPlan,
    ForwardRecord,
    ForwardRetryBudget,
    ForwardVerdict,
    ForwardView,
    RetryBudgetSettings,
    forward,
    make_plan,
)
from radishmount.logs import Emit, RequestLog
from radishmount.planned_stop import PlannedStop
from radishmount.policy import QueryPolicy
from radishmount.publication import (
    ActivePublication,
    Publication,
    ReadBundle,
    ReplicaPlacement,
)
from radishmount.queries import ExplainableRecord, ExplainLog
from radishmount.tasks import TaskSupervisor


__all__ = ["Gateway", "GatewayDependencies", "make_gateway", "make_room_request"]

FORWARD_POLICY = QueryPolicy(probes=False, adaptive_limits=False)
ASSUMED_INSTANCES = 8  # usual size of a fleet, for connection shares until the roster is known
MAX_ADDRESSES_VALID_FOR_MS = 2_000.0  # within this time, callers stop using a lost instance
MAX_HELD_BACK_ROWS = 50  # in the status of an instance
MAX_ADDRESSES = 64  # callers read at most this many addresses
PREFERRED_CHECK_INTERVAL_MS = 250.0  # a fraction of the time for which callers keep addresses
ROSTER_CHECK_INTERVAL_MS = 100.0  # a fraction of the time that peers need to find each other


@dataclass(frozen=True, slots=True)
class GatewayDependencies:
    """What a gateway needs from outside.

    `own` is the instance as its peers see it. `seeds` are addresses of possible peers. A change
    in the store must reach all instances within `max_propagation_ms`.
    """

    own: Instance
    seeds: tuple[str, ...]
    clock: Clock
    random: Random
    store: Store
    open_channel: OpenChannel
    open_peer_for: OpenPeerFor
    read_bundle: ReadBundle
    retry_budget_settings: RetryBudgetSettings
    addresses_valid_for_ms: float
    max_propagation_ms: float
    cold_rate_settings: ColdRateSettings = ColdRateSettings()
    emit: Emit = lambda change, fields: None


@dataclass(frozen=True, slots=True)
class CallerAddresses:
    """The addresses that callers may connect to, and for how long they are valid."""

    addresses: tuple[str, ...]
    valid_for_ms: float


@dataclass(slots=True)
class Gateway:
    """The state of one instance, through which every front end forwards requests."""

    dependencies: GatewayDependencies
    control: SeededControlPlane
    active_publication: ActivePublication
    endpoints: EndpointList
    follower: StoreFollower
    pool: EndpointPool
    forward_context: ForwardContext
    room: RoomAdmission
    slow_endpoint_gossip: SlowEndpointGossip
    replica_placement: ReplicaPlacement
    audit: AuditTrail
    counters: Counters
    tasks: TaskSupervisor
    planned_stop: PlannedStop
    addresses_valid_for_ms: float
    leaving: bool = False
    explain_log: ExplainLog = field(default_factory=ExplainLog)
    in_flight: int = 0
    preferred_names: frozenset[str] = frozenset()
    load_announced_at_ms: float = float("-inf")
    more_gauges: list[Callable[[], dict[str, float]]] = field(default_factory=list)

    def start(self) -> None:
        """Start the control plane and the background tasks."""
        self.control.start()
        self.slow_endpoint_gossip.start()
        self.tasks.start("spread paces", self.slow_endpoint_gossip.run)
        self.tasks.start("follow store", self.follower.run)
        self.tasks.start("settle roster", self._apply_settled_roster)
        self.tasks.start("follow carriers", self._follow_preferred_instances)
        self.tasks.start("tell of changes", self.follower.run_change_notifications)

    async def stop(self) -> None:
        """End every task and close every connection."""
        await self.tasks.stop()
        await self.control.stop()
        await self.pool.stop()
        await self.follower.store.close()

    @property
    def publication(self) -> Publication:
        """Return the active publication."""
        return self.active_publication.current

    def apply_seeds(self, seeds: tuple[str, ...]) -> None:
        """Look for peers at these addresses from now on."""
        self.control.roster.seeds = seeds
        own_address = self.dependencies.own.peer_address
        self.pool.known_instances.has_seeds = any(seed != own_address for seed in seeds)

    def leave(self, accept_for_ms: float = inf, answer_within_ms: float = inf) -> None:
        """Begin a graceful stop: callers are sent elsewhere; requests in flight are finished.

        Requests that come later than `accept_for_ms` from now are refused at once. Those taken
        before are answered within `answer_within_ms`.
        """
        self.leaving = True
        self.planned_stop.begin(accept_for_ms, answer_within_ms)
        self.control.leave()

    def is_ready(self) -> bool:
        """Return whether callers may be sent to this instance."""
        return not self.leaving and self.publication.version > 0 and bool(self.endpoints.by_name)

    async def handle(
        self, call: ForwardCall, host: str, arrived_at_ms: float, time_left_ms: float | None
    ) -> ForwardOutcome:
        """Forward a request by the route of its host and path.

        After a pause of the process, the request first waits for a fresh view. `time_left_ms` is
        how long the caller still waits for the reply, or none if the caller does not say so.
        """
        await self.control.freshness.wait_until_fresh()
        if self.planned_stop.refuses_requests():
            return self._refuse(call, Refusal(Code.INSTANCE_LEAVING))
        if self.publication.version == 0:
            return self._refuse(call, Refusal(Code.NOT_READY))
        path = call.target.partition("?")[0]
        route = self.publication.routes.find(host, path)
        if route is None:
            return self._refuse(call, Refusal(Code.UNKNOWN_ROUTE, detail=f"{host}{path}"))
        context = self.forward_context
        lag_ms = context.event_loop_lag.reply_margin_ms()
        time_left_ms = self.planned_stop.bound_time_left(time_left_ms, arrived_at_ms)
        plan = make_plan(call, route, arrived_at_ms, time_left_ms, context.random, lag_ms)
        refusal = self.room.admit(make_room_request(plan))
        if refusal is not None:
            return self._refuse(call, refusal, plan)
        self.in_flight += 1
        try:
            async with self.planned_stop.limit():
                return await forward(plan, self.forward_context)
        except TimeoutError:
            return Err(Refusal(Code.INSTANCE_LEAVING, ran=RunStatus.UNKNOWN))
        finally:
            self.in_flight -= 1

    def view(self) -> ForwardView:
        """Return the version of the publication and the age of the endpoints that are in use."""
        return ForwardView(self.publication.version, self.follower.age_ms())

    def new_request_id(self) -> str:
        """Return a unique id for a request of an operator."""
        return f"{self.dependencies.own.name}-{self.dependencies.random.getrandbits(64):016x}"

    def is_leaving(self) -> bool:
        """Return whether the instance leaves, so that callers should use others."""
        return self.leaving

    def explain(self, request_id: str) -> ExplainableRecord | None:
        """Return the record of an unusual request, if there still is one."""
        return self.explain_log.find(request_id)

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges."""
        view = self.view()
        gauges = {
            "ready": float(self.is_ready()),
            "leaving": float(self.leaving),
            "publication_version": float(view.version),
            "publication_age_ms": self.active_publication.age_ms(),
            "endpoints_age_ms": view.endpoints_age_ms,
            "endpoints_known": float(len(self.pool.first_seen_ms_by_name)),
            "evacuated_data_centres": float(len(self.pool.evacuated_data_centres)),
            "cold_endpoints": float(len(self.pool.cold_endpoints())),
            "store_reached": float(self.follower.is_store_reachable),
            "store_era": float(self.follower.known_position.told.era),
            "store_history": float(self.follower.known_position.history),
            "store_revision": float(self.follower.known_position.revision),
            "store_answer_age_ms": self.follower.answer_age_ms(),
            "instances_listed": float(len(self.control.fleet.listed_names)),
            "peer_streams": float(len(self.control.peers.sessions_by_name)),
            "forwarding": float(self.in_flight),
            "endpoints_left": float(
                sum(
                    connection_pool.endpoint.left_since_ms is not None
                    for connection_pool in self.pool.connection_pools_by_name.values()
                )
            ),
            "hosts_served_elsewhere": float(
                self.replica_placement.count_sent_away(self.dependencies.own.data_centre)
            ),
            "short_of_room": float(self.room.short_count()),
            "endpoints_held_back": float(len(self.pool.held_back_endpoints())),
        }
        for read in self.more_gauges:
            gauges.update(read())
        return gauges

    def status(self) -> dict[str, Any]:
        """Return the state of the instance in plain values."""
        return {
            "name": self.dependencies.own.name,
            "data_centre": self.dependencies.own.data_centre,
            "instances": self.control.fleet.listed_names,
            **self.gauges(),
            "held_back": self.pool.held_back_endpoints()[:MAX_HELD_BACK_ROWS],
        }

    def _refuse(
        self, call: ForwardCall, refusal: Refusal, plan: ForwardPlan | None = None
    ) -> ForwardOutcome:
        """Refuse a request before it is sent anywhere, and record the refusal."""
        view = self.view()
        now_ms = self.dependencies.clock.now_ms()
        record = ForwardRecord(
            request_id=call.request_id,
            route="" if plan is None else plan.route.name,
            verdict=ForwardVerdict.REFUSED,
            took_ms=0.0 if plan is None else now_ms - plan.arrived_at_ms,
            allowed_ms=0.0 if plan is None else plan.deadline_at_ms - plan.arrived_at_ms,
            parts=0 if plan is None else len(plan.services),
            missing=(),
            attempts=(),
            version=view.version,
            endpoints_age_ms=view.endpoints_age_ms,
            refusal=refusal,
        )
        self.counters.add("requests", ForwardVerdict.REFUSED.value)
        if plan is not None:
            self.forward_context.observe(record.route, record.verdict.value, record.took_ms)
        self.forward_context.on_record(record)
        return Err(refusal)

    def addresses(self, data_centre: str, host: str = "") -> CallerAddresses:
        """Return the addresses of the preferred instances for a caller of `host`.

        They are in its `data_centre`, or beside the replicas that its searches need.
        """
        fleet = self.control.fleet
        replica_data_centres = self.replica_placement.data_centres_for(host, data_centre)
        if replica_data_centres:
            chosen = choose_beside_replicas(fleet, replica_data_centres, data_centre, MAX_ADDRESSES)
        else:
            chosen = choose_preferred(fleet, data_centre, MAX_ADDRESSES)
        place = "beside the replicas" if replica_data_centres else "own data centre"
        self.counters.add("addresses_given", place)
        addresses = tuple(instance.caller_address for instance in chosen)
        return CallerAddresses(addresses, self._addresses_valid_for_ms())

    def _addresses_valid_for_ms(self) -> float:
        return min(MAX_ADDRESSES_VALID_FOR_MS, self.addresses_valid_for_ms)

    async def update_endpoints(self) -> None:
        """Update the connection pools to the publication, the endpoints and the instances."""
        publication = self.endpoints.merge_into(self.publication)
        self.replica_placement.apply(publication, publication.evacuated_data_centres)
        is_preferred = self.dependencies.own.name in self.preferred_names
        preferred_count = (
            len(self.preferred_names) if is_preferred and self.control.roster.is_settled() else None
        )
        self.pool.known_instances.apply_list(
            self.control.fleet.listed_names, self.dependencies.clock.now_ms()
        )
        await self.pool.apply_publication(publication, self._sharing_instances(), preferred_count)
        self.pool.apply_leaving_list(self.endpoints.draining_names)

    async def apply_roster(self) -> None:
        """Divide connections and the retry budget among the instances of the new roster."""
        self.preferred_names = preferred_names(self.control.fleet)
        if self.control.roster.is_settled():
            self.forward_context.retry_budget.set_shares(
                fleet_shares(self.control.fleet, self.preferred_names)
            )
        await self.update_endpoints()

    def _sharing_instances(self) -> list[str]:
        """Return the instances that share the connections.

        Until the roster has settled, assumed names are added up to the usual size of a fleet.
        """
        names = self.control.fleet.listed_names
        if self.control.roster.is_settled():
            return names
        return names + [f"assumed {n}" for n in range(len(names), ASSUMED_INSTANCES)]

    async def _apply_settled_roster(self) -> None:
        """Apply the roster once it has settled."""
        while not self.control.roster.is_settled():
            await self.dependencies.clock.sleep_ms(ROSTER_CHECK_INTERVAL_MS)
        await self.apply_roster()

    async def _follow_preferred_instances(self) -> None:
        """Apply the roster again when the preferred instances change.

        Each turn also measures the lag of the event loop and reports it as the load.
        """
        while True:
            due_at_ms = self.dependencies.clock.now_ms() + PREFERRED_CHECK_INTERVAL_MS
            await self.dependencies.clock.sleep_ms(PREFERRED_CHECK_INTERVAL_MS)
            self.forward_context.event_loop_lag.add(
                max(0.0, self.dependencies.clock.now_ms() - due_at_ms)
            )
            self._announce_load()
            self.room.update()
            if preferred_names(self.control.fleet) != self.preferred_names:
                await self.apply_roster()

    def _announce_load(self) -> None:
        """Announce whether this instance is overloaded, if callers are sent to it.

        An announcement costs a frame on every stream of the fleet. So it is made at most once in
        the time for which callers keep addresses, as they notice no change in between.
        """
        members = self.control.fleet.members
        is_overloaded = members.own.state is MemberState.OVERLOADED
        if self.dependencies.own.name not in self.preferred_names and not is_overloaded:
            return
        now_ms = self.dependencies.clock.now_ms()
        if now_ms - self.load_announced_at_ms < self._addresses_valid_for_ms():
            return
        members.update_own_load(self.forward_context.event_loop_lag.load())
        if is_overloaded is not (members.own.state is MemberState.OVERLOADED):
            self.load_announced_at_ms = now_ms


def make_room_request(plan: ForwardPlan) -> RoomRequest:
    """Return what admission needs to know of a request."""
    route = plan.route
    return RoomRequest(
        services=plan.services,
        allowed_missing=len(plan.services) - plan.min_replies,
        priority=route.priority,
        target_ms=route.target_latency_ms,
        deadline_at_ms=plan.deadline_at_ms,
    )


def make_gateway(
    dependencies: GatewayDependencies, audit: AuditTrail, counters: Counters | None = None
) -> Gateway:
    """Return an instance that is not started yet."""
    counters = counters or Counters()
    clock, random = dependencies.clock, dependencies.random
    own = dependencies.own
    pool = EndpointPool(own.name, dependencies.open_channel, clock, counters, audit, FORWARD_POLICY)
    pool.subsets.connections_per_instance = 1
    pool.cold_rate_settings = dependencies.cold_rate_settings
    active_publication = ActivePublication(dependencies.read_bundle, audit, counters, clock)
    endpoints = EndpointList()
    choose = make_weighted_choice(own.data_centre, Random(random.random()), FORWARD_POLICY)
    forward_context = ForwardContext(
        pool,
        clock,
        random,
        choose,
        counters,
        ForwardRetryBudget(dependencies.retry_budget_settings),
        data_centre=own.data_centre,
    )

    room = RoomAdmission(pool.endpoints_of, clock, random, counters, audit)
    forward_context.withholds_repeat = lambda plan, service: room.withholds_repeat(
        make_room_request(plan), service
    )

    async def update_endpoints() -> None:
        await gateway.update_endpoints()

    async def apply_publication(publication: Publication) -> None:
        await gateway.update_endpoints()

    follower = StoreFollower(
        store=dependencies.store,
        endpoints=endpoints,
        active_publication=active_publication,
        clock=clock,
        random=random,
        audit=audit,
        counters=counters,
        on_change=update_endpoints,
        max_propagation_ms=dependencies.max_propagation_ms,
    )
    control_dependencies = SeededControlPlaneDependencies(
        own, dependencies.seeds, clock, random, dependencies.open_peer_for
    )
    control = make_seeded_control_plane(
        control_dependencies, active_publication, follower, audit, counters
    )
    slow_endpoint_gossip = SlowEndpointGossip(
        control.peers,
        clock,
        counters,
        find_slow=pool.slow_endpoints,
        on_hints=pool.apply_slow_endpoint_hints,
        preferred_names=lambda: gateway.preferred_names,
    )
    gateway = Gateway(
        dependencies=dependencies,
        control=control,
        active_publication=active_publication,
        endpoints=endpoints,
        follower=follower,
        pool=pool,
        forward_context=forward_context,
        room=room,
        slow_endpoint_gossip=slow_endpoint_gossip,
        replica_placement=ReplicaPlacement(audit),
        audit=audit,
        counters=counters,
        tasks=TaskSupervisor(clock, audit, counters),
        planned_stop=PlannedStop(clock),
        addresses_valid_for_ms=dependencies.addresses_valid_for_ms,
    )
    gateway.apply_seeds(dependencies.seeds)

    def record_departure(name: str) -> None:
        endpoints.record_departure(name, clock.now_ms())

    pool.on_leaving = record_departure
    request_log = RequestLog(clock, counters, dependencies.emit)

    def log_record(record: ForwardRecord) -> None:
        gateway.explain_log.add(record)
        request_log.write(record)

    forward_context.view = gateway.view
    forward_context.on_record = log_record
    active_publication.on_change.append(apply_publication)
    control.roster.on_change.append(gateway.apply_roster)
    return gateway

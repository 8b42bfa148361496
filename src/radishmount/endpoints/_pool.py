"""All endpoints of the active publication, and the connection pools to them."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from result import Err

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code
from radishmount.counters import Counters
from radishmount.endpoints._any_attempt import AnyAttempt
from radishmount.endpoints._capacity import KindLatencies
from radishmount.endpoints._choice import SLOW_START_MS
from radishmount.endpoints._cold_rate import (
    ColdRate,
    ColdRateSettings,
    KnownInstances,
    total_cold_slots,
)
from radishmount.endpoints._connection_pool import ConnectionPool
from radishmount.endpoints._ejection import Ejection, max_ejected
from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._exchange import Failure, OpenChannel
from radishmount.endpoints._limit import InFlightLimit
from radishmount.endpoints._slow_endpoints import find_slow_endpoints
from radishmount.endpoints._subsets import InstanceSubsets, connection_share
from radishmount.endpoints._waker import wake
from radishmount.fleet import SlowEndpointHint
from radishmount.policy import DEFAULT_POLICY, QueryPolicy
from radishmount.publication import EMPTY_PUBLICATION, EndpointSpec, Publication, Service


__all__ = ["EndpointPool"]

PREFERRED_PART = 0.5  # of the cap, shared among the preferred instances
FEW_REQUESTS_RISE_WEIGHT = 0.5  # two slow exchanges in a row account for three quarters of a rise


@dataclass(slots=True)
class EndpointPool:
    """The endpoints of the active publication, with a connection pool for each.

    Where the policy has no probes, the pools of a service are made on its first use: most instances
    of a large fleet forward to few services. `first_seen_ms_by_name` tells since when an endpoint
    is published, and `on_leaving` is called with the name of an endpoint whose own report says that
    it is leaving. `paused_until_ms_by_start` has the pauses of endpoints that were removed, by name
    and start time, as they may return meanwhile. `evacuation_ended_at_ms_by_data_centre` tells
    when the last evacuation of a data centre ended, as its endpoints may be cold after it.
    `known_instances` share what cold endpoints may get, and `cold_until_ms_by_name` tells until
    when endpoints are cold by their entries.
    """

    own_name: str
    open_channel: OpenChannel
    clock: Clock
    counters: Counters
    audit: AuditTrail
    policy: QueryPolicy = DEFAULT_POLICY
    publication: Publication = EMPTY_PUBLICATION
    subsets: InstanceSubsets = field(default_factory=InstanceSubsets)
    preferred_count: int | None = None
    connection_pools_by_name: dict[str, ConnectionPool] = field(default_factory=dict)
    endpoints_by_service: dict[str, list[Endpoint]] = field(default_factory=dict)
    retired_connection_pools: list[ConnectionPool] = field(default_factory=list)
    leaving_names: frozenset[str] = frozenset()
    first_seen_ms_by_name: dict[str, float] = field(default_factory=dict)
    on_leaving: Callable[[str], None] = lambda name: None
    paused_until_ms_by_start: dict[tuple[str, int], float] = field(default_factory=dict)
    evacuated_data_centres: frozenset[str] = frozenset()
    evacuation_ended_at_ms_by_data_centre: dict[str, float] = field(default_factory=dict)
    cold_rate_settings: ColdRateSettings = field(default_factory=ColdRateSettings)
    known_instances: KnownInstances = field(init=False)
    cold_until_ms_by_name: dict[str, float] = field(default_factory=dict)
    kind_latencies_by_service: dict[str, KindLatencies] = field(default_factory=dict)
    update_waiters: list[asyncio.Future[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.known_instances = KnownInstances(self.own_name, self.clock.now_ms())

    def endpoints_of(self, service: str) -> Iterable[Endpoint]:
        """Return the endpoints of `service`."""
        endpoints = self.endpoints_by_service.get(service)
        if endpoints is not None:
            return endpoints
        published = self.publication.services_by_name.get(service)
        if published is None:
            return ()
        return self._update_service(published)

    def submit(self, attempt: AnyAttempt) -> None:
        """Hand `attempt` to the connection pool of its endpoint.

        An attempt for an endpoint that is no longer published ends at once with NO_ENDPOINT.
        """
        connection_pool = self.connection_pools_by_name.get(attempt.endpoint.name)
        if connection_pool is None or connection_pool.endpoint is not attempt.endpoint:
            failure = Failure(Code.NO_ENDPOINT, detail="the endpoint is no longer published")
            attempt.finish(Err(failure), self.clock.now_ms())
            return
        connection_pool.submit(attempt)

    async def apply_publication(
        self,
        publication: Publication,
        instances: Iterable[str],
        preferred_count: int | None = None,
    ) -> None:
        """Add a connection pool for each new endpoint, and retire the pools of those removed.

        The exchanges of a retired pool run to their end, so that no request in flight is cut.
        `instances` are the names of the listed instances. `preferred_count` is the number of
        preferred instances, to which callers are sent and for which a part of each connection cap
        is reserved. It is None where no part is reserved for this instance.
        """
        self._record_cold_entries(self.publication, publication)
        self.publication = publication
        self._apply_evacuations(publication.evacuated_data_centres)
        self.preferred_count = preferred_count
        self.subsets.set_instances(instances)
        self.subsets.retain_endpoints(publication.endpoints_by_name)
        for name, connection_pool in list(self.connection_pools_by_name.items()):
            spec = publication.endpoints_by_name.get(name)
            if spec is None or not _is_same_start(spec, connection_pool.endpoint.spec):
                self._retire(self.connection_pools_by_name.pop(name))
        now_ms = self.clock.now_ms()
        for start, until_ms in list(self.paused_until_ms_by_start.items()):
            if until_ms <= now_ms:
                del self.paused_until_ms_by_start[start]
        seen_ms_by_name = self.first_seen_ms_by_name
        self.first_seen_ms_by_name = {
            name: seen_ms_by_name.get(name, now_ms) for name in publication.endpoints_by_name
        }
        used_services = self.endpoints_by_service
        self.endpoints_by_service = {}
        for name in self.kind_latencies_by_service.keys() - publication.services_by_name.keys():
            del self.kind_latencies_by_service[name]
        for service in publication.services_by_name.values():
            if self.policy.probes or service.name in used_services:
                self._update_service(service)
        self._wake_update_waiters()

    def _apply_evacuations(self, data_centres: frozenset[str]) -> None:
        """Send nothing more to the endpoints of `data_centres`, and use those of others again.

        Exchanges in flight run to their end; attempts that wait for a connection end at once.
        """
        before, self.evacuated_data_centres = self.evacuated_data_centres, data_centres
        if before == data_centres:
            return
        now_ms = self.clock.now_ms()
        endpoints = self.publication.endpoints_by_name.values()
        count_by_data_centre = Counter(spec.data_centre for spec in endpoints)
        for name in sorted(before - data_centres):
            count = count_by_data_centre[name]
            if count:
                self.evacuation_ended_at_ms_by_data_centre[name] = now_ms
            self._record_evacuation(name, "evacuation ended", count)
        for name in sorted(data_centres - before):
            self._record_evacuation(name, "evacuated", count_by_data_centre[name])
        for connection_pool in self.connection_pools_by_name.values():
            self._update_evacuation(connection_pool)

    def _record_evacuation(self, data_centre: str, change: str, count: int) -> None:
        self.counters.add("data_centre_changes", change)
        self.audit.record(
            f"data-centre/{data_centre}",
            change,
            cause=f"the operator, {count} endpoints there",
            version=self.publication.version,
        )

    def _update_evacuation(self, connection_pool: ConnectionPool) -> None:
        """Begin or end the evacuation of one endpoint, as its data centre is evacuated or not.

        After it the endpoint may be cold, so the load returns as after a start.
        """
        endpoint = connection_pool.endpoint
        data_centre = endpoint.spec.data_centre
        ended_at_ms = self.evacuation_ended_at_ms_by_data_centre.get(data_centre)
        if ended_at_ms is not None:
            endpoint.available_since_ms = max(endpoint.available_since_ms, ended_at_ms)
        is_evacuated = data_centre in self.evacuated_data_centres
        if is_evacuated != endpoint.is_evacuated:
            connection_pool.set_evacuated(is_evacuated)

    def _record_cold_entries(self, before: Publication, publication: Publication) -> None:
        """Record until when endpoints are cold whose entries are new or state another time.

        Also where the service states no rate, as it may state one while they are still cold.
        """
        now_ms = self.clock.now_ms()
        until_ms_by_name = {n: t for n, t in self.cold_until_ms_by_name.items() if t > now_ms}
        for service in publication.services_by_name.values():
            for spec in service.endpoints:
                if spec.cold_for_ms <= 0.0:
                    continue
                old = before.endpoints_by_name.get(spec.name)
                if old is None or _cold_start(old) != _cold_start(spec):
                    until_ms_by_name[spec.name] = now_ms + spec.cold_for_ms
        self.cold_until_ms_by_name = until_ms_by_name

    def _update_cold_rate(self, endpoint: Endpoint, service: Service) -> None:
        """Bound what an endpoint gets while it is cold, as its service asks for."""
        now_ms = self.clock.now_ms()
        if service.cold_per_s <= 0.0:
            endpoint.cold_rate = None
            endpoint.announce_warm(now_ms)
            return
        total = total_cold_slots(service.cold_per_s, self.cold_rate_settings)
        if endpoint.cold_rate is None:
            endpoint.cold_rate = ColdRate(endpoint.name, total, self.known_instances)
        endpoint.cold_rate.total = total
        endpoint.announce_warm(now_ms)
        until_ms = self.cold_until_ms_by_name.get(endpoint.name)
        if until_ms is not None:
            endpoint.record_cold(until_ms, "its entry", now_ms)
        data_centre = endpoint.spec.data_centre
        ended_at_ms = self.evacuation_ended_at_ms_by_data_centre.get(data_centre)
        if ended_at_ms is not None:
            until_ms = ended_at_ms + service.cold_start_ms
            endpoint.record_cold(until_ms, "its data centre was evacuated", now_ms)

    def cold_endpoints(self) -> list[str]:
        """Return the endpoints that are cold and get less than they could for that reason."""
        now_ms = self.clock.now_ms()
        endpoints = [pool.endpoint for pool in self.connection_pools_by_name.values()]
        return [e.name for e in endpoints if e.cold_rate and e.cold_rate.is_cold(now_ms)]

    def apply_leaving_list(self, names: frozenset[str]) -> None:
        """Mark the endpoints that the instance list names as leaving, and no others."""
        self.leaving_names = names
        now_ms = self.clock.now_ms()
        for name, connection_pool in self.connection_pools_by_name.items():
            connection_pool.endpoint.set_listed_as_leaving(name in names, now_ms)

    def apply_leaving_hint(self, names: Iterable[str]) -> None:
        """Treat endpoints that a peer saw leaving as leaving, and probe them at once to confirm."""
        now_ms = self.clock.now_ms()
        for name in names:
            connection_pool = self.connection_pools_by_name.get(name)
            if connection_pool is not None:
                connection_pool.endpoint.apply_leaving_hint(now_ms)
                connection_pool.probe_now()

    def held_back_endpoints(self) -> list[dict[str, Any]]:
        """Return the endpoints found to take less than others, those held back longest first."""
        now_ms = self.clock.now_ms()
        rows = []
        for service, endpoints in self.endpoints_by_service.items():
            for endpoint in endpoints:
                since_ms = endpoint.capacity.held_back_since_ms
                if since_ms is None:
                    continue
                rows.append(
                    {
                        "endpoint": endpoint.name,
                        "service": service,
                        "held_back_for_ms": round(now_ms - since_ms),
                        "comfortable_requests": round(endpoint.comfortable_requests(now_ms), 1),
                        "slots": endpoint.usable_slots,
                        "slowness": round(endpoint.capacity.slowness, 2),
                    }
                )
        return sorted(rows, key=lambda row: -row["held_back_for_ms"])

    def slow_endpoints(self) -> list[SlowEndpointHint]:
        """Return the endpoints that are far slower than the other replicas of their service."""
        now_ms = self.clock.now_ms()
        hints: list[SlowEndpointHint] = []
        for replicas in self.endpoints_by_service.values():
            hints.extend(find_slow_endpoints(replicas, now_ms))
        return hints

    def apply_slow_endpoint_hints(self, latency_ms_by_name: Mapping[str, float]) -> None:
        """Raise latency estimates towards what a peer saw, until own samples lower them again."""
        now_ms = self.clock.now_ms()
        for name, latency_ms in latency_ms_by_name.items():
            service = self.publication.services_by_endpoint.get(name)
            if service is not None:
                self.endpoints_of(service.name)  # makes the pools of a service not used so far
            connection_pool = self.connection_pools_by_name.get(name)
            if connection_pool is not None:
                connection_pool.endpoint.latency.add_lower_bound(latency_ms, now_ms)
                connection_pool.endpoint.steady_latency.add_hint(latency_ms, now_ms)

    def peers_sharing(self, name: str) -> list[str]:
        """Return the other instances that may connect to the endpoint `name`."""
        service = self.publication.services_by_endpoint.get(name)
        if service is None:
            return []
        subset = self.subsets.subset_for(name, service.connections)
        return [instance for instance in subset if instance != self.own_name]

    def expire_health(self) -> None:
        """Mark the health of all endpoints as out of date and probe them, as after a pause."""
        self.counters.add("evidence_forgotten")
        for connection_pool in self.connection_pools_by_name.values():
            connection_pool.endpoint.expire_health()
            connection_pool.probe_now()

    async def wait_for_update(self, timeout_ms: float) -> None:
        """Wait until an endpoint answers or the endpoints change, at most `timeout_ms`."""
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self.update_waiters.append(waiter)
        timer = loop.call_later(timeout_ms / 1000.0, wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            if waiter in self.update_waiters:
                self.update_waiters.remove(waiter)

    async def stop(self) -> None:
        """Close every connection, whatever is in flight."""
        connection_pools = [*self.connection_pools_by_name.values(), *self.retired_connection_pools]
        await asyncio.gather(*(connection_pool.stop() for connection_pool in connection_pools))

    def _update_service(self, service: Service) -> list[Endpoint]:
        """Make or update the connection pools of a service, and return its endpoints."""
        for spec in service.endpoints:
            self._update_connection_pool(spec, service)
        endpoints = [
            self.connection_pools_by_name[spec.name].endpoint for spec in service.endpoints
        ]
        kind_latencies = self.kind_latencies_by_service.setdefault(service.name, KindLatencies())
        for endpoint in endpoints:
            endpoint.kind_latencies = kind_latencies
        self.endpoints_by_service[service.name] = endpoints
        return endpoints

    def _update_connection_pool(self, spec: EndpointSpec, service: Service) -> None:
        name = spec.name
        subset = self.subsets.subset_for(name, service.connections)
        limit = service.connections
        if self.policy.holders:
            limit = self._connection_limit(subset, limit)
        connection_pool = self.connection_pools_by_name.get(name) or self._revive_retired(spec)
        if connection_pool is None:
            connection_pool = self._make_connection_pool(spec, limit)
        endpoint = connection_pool.endpoint
        endpoint.spec = spec
        endpoint.may_connect = limit > 0
        endpoint.slots = service.slots
        endpoint.limit.minimum = max(1, -(-service.slots // max(1, len(subset))))
        endpoint.set_listed_as_leaving(name in self.leaving_names, self.clock.now_ms())
        self.connection_pools_by_name[name] = connection_pool
        self._update_evacuation(connection_pool)
        self._update_cold_rate(endpoint, service)
        connection_pool.set_connection_limit(limit)

    def _connection_limit(self, subset: Sequence[str], cap: int) -> int:
        """Return how many connections this instance may open to an endpoint with `cap`.

        Instances to which callers are not sent open few of the connections allowed to them. So a
        preferred instance gets an equal part of half of the cap, where that is more than the share
        of each instance of the subset.
        """
        share = connection_share(len(subset), cap) if self.own_name in subset else 0
        if self.preferred_count is None:
            return share
        return max(share, connection_share(self.preferred_count, int(PREFERRED_PART * cap)))

    def _make_connection_pool(self, spec: EndpointSpec, limit: int) -> ConnectionPool:
        endpoint = Endpoint(
            spec=spec,
            slots=0,
            may_eject=self._may_eject,
            on_change=self._record_change,
            ejection=Ejection(steady=self.policy.steady_recovery),
            limit=InFlightLimit(),
        )
        if not self.policy.probes:
            endpoint.is_tracked_by_discovery = True
            # The slow start ends at the moment at which the endpoint is no longer cold.
            first_seen_ms = self.first_seen_ms_by_name.get(spec.name, self.clock.now_ms())
            endpoint.available_since_ms = first_seen_ms + spec.cold_for_ms - SLOW_START_MS
            endpoint.latency.rise_weight = FEW_REQUESTS_RISE_WEIGHT
        paused_until_ms = self.paused_until_ms_by_start.get((spec.name, spec.started_at_ms))
        if paused_until_ms is not None:
            endpoint.paused_until_ms = paused_until_ms
            endpoint.available_since_ms = max(endpoint.available_since_ms, paused_until_ms)
        return ConnectionPool(
            endpoint=endpoint,
            open_channel=self.open_channel,
            clock=self.clock,
            counters=self.counters,
            connection_limit=limit,
            policy=self.policy,
            on_health_update=self._wake_update_waiters,
        )

    def _retire(self, connection_pool: ConnectionPool) -> None:
        connection_pool.retire()
        endpoint = connection_pool.endpoint
        if endpoint.is_paused(self.clock.now_ms()):
            start = (endpoint.name, endpoint.spec.started_at_ms)
            self.paused_until_ms_by_start[start] = endpoint.paused_until_ms
        self.retired_connection_pools = [
            retired for retired in self.retired_connection_pools if retired.tasks
        ]
        self.retired_connection_pools.append(connection_pool)

    def _revive_retired(self, spec: EndpointSpec) -> ConnectionPool | None:
        """Take back the retired pool of the same endpoint: its open connections still count."""
        for connection_pool in self.retired_connection_pools:
            if not _is_same_start(spec, connection_pool.endpoint.spec):
                continue
            self.retired_connection_pools.remove(connection_pool)
            connection_pool.revive()
            return connection_pool
        return None

    def _may_eject(self, endpoint: Endpoint) -> bool:
        """Return whether one more replica of the service may be ejected."""
        if not self.policy.ejection:
            return False
        service = self.publication.services_by_endpoint.get(endpoint.name)
        if service is None:
            return False
        replicas = self.endpoints_by_service.get(service.name, [])
        ejected = sum(replica.ejection.ejected_since_ms is not None for replica in replicas)
        if ejected < max_ejected(len(replicas)):
            return True
        self.counters.add("ejections_withheld")
        return False

    def _record_change(self, endpoint: Endpoint, change: str, cause: str) -> None:
        self.counters.add("endpoint_changes", change)
        version = self.publication.version
        self.audit.record(f"endpoint/{endpoint.name}", change, cause=cause, version=version)
        connection_pool = self.connection_pools_by_name.get(endpoint.name)
        is_used = connection_pool is not None and connection_pool.endpoint is endpoint
        if change == "paused" and connection_pool is not None and is_used:
            connection_pool.refuse_queue(Code.ENDPOINT_PAUSED)
        if change == "cold" and connection_pool is not None and is_used:
            connection_pool.refuse_cold_excess()
        if change != "leaving":
            return
        if endpoint.report.draining or endpoint.has_departed:
            self.on_leaving(endpoint.name)
        if connection_pool is not None and is_used:
            connection_pool.refuse_queue(Code.ENDPOINT_LEAVING)

    def _wake_update_waiters(self) -> None:
        while self.update_waiters:
            wake(self.update_waiters.pop())


def _cold_start(spec: EndpointSpec) -> tuple[int, float]:
    """Return which start is cold and for how long, as its entry states both."""
    return spec.started_at_ms, spec.cold_for_ms


def _is_same_start(spec: EndpointSpec, other: EndpointSpec) -> bool:
    """Return whether both are the same start of an endpoint, at the same address."""
    return (spec.name, spec.address, spec.started_at_ms) == (
        other.name,
        other.address,
        other.started_at_ms,
    )

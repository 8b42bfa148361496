"""All endpoints of the publication in force, and the links to them."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from result import Err

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code
from radishmount.counters import Counters
from radishmount.endpoints._any_attempt import AnyAttempt
from radishmount.endpoints._choice import SLOW_START_MS
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
from radishmount.publication import EMPTY_PUBLICATION, EndpointSpec, Publication


__all__ = ["EndpointPool"]

CARRIERS_PART = 0.5  # of a cap
FEW_REQUESTS_RISE_WEIGHT = 0.5  # two slow exchanges in a row tell three quarters of the change


@dataclass(slots=True)
class EndpointPool:
    """The endpoints by name, with their links, as the publication in force names them."""

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
    on_leaving: Callable[[str], None] = lambda name: None
    update_waiters: list[asyncio.Future[None]] = field(default_factory=list)

    def endpoints_of(self, service: str) -> Iterable[Endpoint]:
        """Return the endpoints of `service`."""
        return self.endpoints_by_service.get(service, ())

    def submit(self, attempt: AnyAttempt) -> None:
        """Send `attempt` over the link of its endpoint, if that is still published."""
        link = self.connection_pools_by_name.get(attempt.endpoint.name)
        if link is None or link.endpoint is not attempt.endpoint:
            failure = Failure(Code.NO_ENDPOINT, detail="no longer published")
            attempt.finish(Err(failure), self.clock.now_ms())
            return
        link.submit(attempt)

    async def apply_publication(
        self,
        publication: Publication,
        instances: Iterable[str],
        preferred_count: int | None = None,
    ) -> None:
        """Link to the endpoints that are new, and retire the links to those that are gone.

        Exchanges over a retired link end on their own, so no request in flight is cut.
        `preferred_count` is how many instances have a part of the connections for themselves, this
        one among them.
        """
        self.publication = publication
        self.preferred_count = preferred_count
        self.subsets.set_instances(instances)
        self.subsets.retain_endpoints(publication.endpoints_by_name)
        for name, link in list(self.connection_pools_by_name.items()):
            spec = publication.endpoints_by_name.get(name)
            if spec is None or spec.address != link.endpoint.spec.address:
                self._retire(self.connection_pools_by_name.pop(name))
        for name in publication.endpoints_by_name:
            self._link_to(name, publication)
        self.endpoints_by_service = {
            service.name: [
                self.connection_pools_by_name[spec.name].endpoint for spec in service.endpoints
            ]
            for service in publication.services_by_name.values()
        }
        self._evidence_came()

    def apply_leaving_list(self, names: frozenset[str]) -> None:
        """Mark the endpoints that the instance list tells are leaving."""
        self.leaving_names = names
        now_ms = self.clock.now_ms()
        for name, link in self.connection_pools_by_name.items():
            link.endpoint.set_listed_as_leaving(name in names, now_ms)

    def apply_leaving_hint(self, names: Iterable[str]) -> None:
        """Send nothing to endpoints that a peer saw leaving, until their own word is heard."""
        now_ms = self.clock.now_ms()
        for name in names:
            link = self.connection_pools_by_name.get(name)
            if link is not None:
                link.endpoint.apply_leaving_hint(now_ms)
                link.probe_now()

    def slow_endpoints(self) -> list[SlowEndpointHint]:
        """Return the endpoints that are far slower than their replicas."""
        now_ms = self.clock.now_ms()
        hints: list[SlowEndpointHint] = []
        for replicas in self.endpoints_by_service.values():
            hints.extend(find_slow_endpoints(replicas, now_ms))
        return hints

    def apply_slow_endpoint_hints(self, paces: Mapping[str, float]) -> None:
        """Expect of endpoints the latencies that a peer saw, until evidence here is younger."""
        now_ms = self.clock.now_ms()
        for name, latency_ms in paces.items():
            link = self.connection_pools_by_name.get(name)
            if link is not None:
                link.endpoint.latency.add_lower_bound(latency_ms, now_ms)

    def peers_sharing(self, name: str) -> list[str]:
        """Return the other instances that may connect to the endpoint `name`."""
        service = self.publication.services_by_endpoint.get(name)
        if service is None:
            return []
        holders = self.subsets.subset_for(name, service.connections)
        return [holder for holder in holders if holder != self.own_name]

    def expire_health(self) -> None:
        """Make all evidence stale and probe at once, as after a pause of this process."""
        self.counters.add("evidence_forgotten")
        for link in self.connection_pools_by_name.values():
            link.endpoint.expire_health()
            link.probe_now()

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
        """Close every link."""
        links = [*self.connection_pools_by_name.values(), *self.retired_connection_pools]
        await asyncio.gather(*(link.stop() for link in links))

    def _link_to(self, name: str, publication: Publication) -> None:
        service = publication.services_by_endpoint[name]
        spec = publication.endpoints_by_name[name]
        holders = self.subsets.subset_for(name, service.connections)
        limit = service.connections
        if self.policy.holders:
            limit = self._share(holders, limit)
        link = self.connection_pools_by_name.get(name) or self._revived(spec)
        if link is None:
            link = self._new_link(spec, limit)
        endpoint = link.endpoint
        endpoint.spec = spec
        endpoint.may_connect = limit > 0
        endpoint.slots = service.slots
        endpoint.limit.minimum = max(1, -(-service.slots // max(1, len(holders))))
        self.connection_pools_by_name[name] = link
        link.set_connection_limit(limit)

    def _share(self, holders: Sequence[str], cap: int) -> int:
        """Return how many connections this instance may have to an endpoint.

        Instances that callers are not sent to open few of theirs, so carriers have half of the cap
        for themselves beside the share of all holders.
        """
        share = connection_share(len(holders), cap) if self.own_name in holders else 0
        if self.preferred_count is None:
            return share
        return max(share, connection_share(self.preferred_count, int(CARRIERS_PART * cap)))

    def _new_link(self, spec: EndpointSpec, limit: int) -> ConnectionPool:
        endpoint = Endpoint(
            spec=spec,
            slots=0,
            may_eject=self._may_eject,
            on_change=self._note_change,
            ejection=Ejection(steady=self.policy.steady_recovery),
            limit=InFlightLimit(),
        )
        if not self.policy.probes:
            endpoint.is_tracked_by_discovery = True
            # It takes its full share from the moment at which it is no longer cold.
            endpoint.available_since_ms = self.clock.now_ms() + spec.cold_for_ms - SLOW_START_MS
            endpoint.latency.rise_weight = FEW_REQUESTS_RISE_WEIGHT
        endpoint.set_listed_as_leaving(spec.name in self.leaving_names, self.clock.now_ms())
        return ConnectionPool(
            endpoint=endpoint,
            open_channel=self.open_channel,
            clock=self.clock,
            counters=self.counters,
            connection_limit=limit,
            policy=self.policy,
            on_health_update=self._evidence_came,
        )

    def _retire(self, link: ConnectionPool) -> None:
        link.retire()
        self.retired_connection_pools = [
            known for known in self.retired_connection_pools if known.tasks
        ]
        self.retired_connection_pools.append(link)

    def _revived(self, spec: EndpointSpec) -> ConnectionPool | None:
        """Return the retired link to the same endpoint, so that its connections still count."""
        for link in self.retired_connection_pools:
            known = link.endpoint.spec
            if (known.name, known.address) != (spec.name, spec.address):
                continue
            self.retired_connection_pools.remove(link)
            link.revive()
            return link
        return None

    def _may_eject(self, endpoint: Endpoint) -> bool:
        """Tell whether the bound on ejected replicas allows one more."""
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

    def _note_change(self, endpoint: Endpoint, change: str, cause: str) -> None:
        self.counters.add("endpoint_changes", change)
        version = self.publication.version
        self.audit.record(f"endpoint/{endpoint.name}", change, cause=cause, version=version)
        if change == "leaving" and endpoint.report.draining:
            self.on_leaving(endpoint.name)

    def _evidence_came(self) -> None:
        while self.update_waiters:
            wake(self.update_waiters.pop())

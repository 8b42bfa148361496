"""All endpoints of the publication in force, and the links to them."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from result import Err

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code
from radishmount.counters import Counters
from radishmount.endpoints._carried import Carried
from radishmount.endpoints._choice import RAMP_MS
from radishmount.endpoints._ejection import Ejection, ejectable
from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._exchange import Failure, OpenChannel
from radishmount.endpoints._holders import HolderBook, share_of_holder
from radishmount.endpoints._limit import InFlightLimit
from radishmount.endpoints._link import Link
from radishmount.endpoints._pace import slow_paces
from radishmount.endpoints._waker import wake
from radishmount.fleet import PaceHint
from radishmount.policy import EVERY_MECHANISM, QueryPolicy
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
    policy: QueryPolicy = EVERY_MECHANISM
    publication: Publication = EMPTY_PUBLICATION
    holders: HolderBook = field(default_factory=HolderBook)
    carriers: int | None = None
    links_by_name: dict[str, Link] = field(default_factory=dict)
    endpoints_by_service: dict[str, list[Endpoint]] = field(default_factory=dict)
    retiring: list[Link] = field(default_factory=list)
    leaving_names: frozenset[str] = frozenset()
    on_leaving: Callable[[str], None] = lambda name: None
    evidence_waiters: list[asyncio.Future[None]] = field(default_factory=list)

    def endpoints_of(self, service: str) -> Iterable[Endpoint]:
        """Return the endpoints of `service`."""
        return self.endpoints_by_service.get(service, ())

    def submit(self, attempt: Carried) -> None:
        """Send `attempt` over the link of its endpoint, if that is still published."""
        link = self.links_by_name.get(attempt.endpoint.name)
        if link is None or link.endpoint is not attempt.endpoint:
            failure = Failure(Code.NO_ENDPOINT, detail="no longer published")
            attempt.finish(Err(failure), self.clock.now_ms())
            return
        link.submit(attempt)

    async def take_publication(
        self,
        publication: Publication,
        instances: Iterable[str],
        carriers: int | None = None,
    ) -> None:
        """Link to the endpoints that are new, and retire the links to those that are gone.

        Exchanges over a retired link end on their own, so no request in flight is cut. `carriers`
        is how many instances have a part of the connections for themselves, this one among them.
        """
        self.publication = publication
        self.carriers = carriers
        self.holders.take_instances(instances)
        self.holders.keep_only(publication.endpoints_by_name)
        for name, link in list(self.links_by_name.items()):
            spec = publication.endpoints_by_name.get(name)
            if spec is None or spec.address != link.endpoint.spec.address:
                self._retire(self.links_by_name.pop(name))
        for name in publication.endpoints_by_name:
            self._link_to(name, publication)
        self.endpoints_by_service = {
            service.name: [self.links_by_name[spec.name].endpoint for spec in service.endpoints]
            for service in publication.services_by_name.values()
        }
        self._evidence_came()

    def take_leaving(self, names: frozenset[str]) -> None:
        """Mark the endpoints that the instance list tells are leaving."""
        self.leaving_names = names
        now_ms = self.clock.now_ms()
        for name, link in self.links_by_name.items():
            link.endpoint.list_as_leaving(name in names, now_ms)

    def take_leaving_hint(self, names: Iterable[str]) -> None:
        """Send nothing to endpoints that a peer saw leaving, until their own word is heard."""
        now_ms = self.clock.now_ms()
        for name in names:
            link = self.links_by_name.get(name)
            if link is not None:
                link.endpoint.take_leaving_hint(now_ms)
                link.probe_now()

    def slow_paces(self) -> list[PaceHint]:
        """Return the endpoints that are far slower than their replicas."""
        now_ms = self.clock.now_ms()
        hints: list[PaceHint] = []
        for replicas in self.endpoints_by_service.values():
            hints.extend(slow_paces(replicas, now_ms))
        return hints

    def take_pace_hints(self, paces: Mapping[str, float]) -> None:
        """Expect of endpoints the latencies that a peer saw, until evidence here is younger."""
        now_ms = self.clock.now_ms()
        for name, latency_ms in paces.items():
            link = self.links_by_name.get(name)
            if link is not None:
                link.endpoint.latency.add_at_least(latency_ms, now_ms)

    def users_of(self, name: str) -> list[str]:
        """Return the other instances that may connect to the endpoint `name`."""
        service = self.publication.services_by_endpoint.get(name)
        if service is None:
            return []
        holders = self.holders.holders_of(name, service.connections)
        return [holder for holder in holders if holder != self.own_name]

    def forget_evidence(self) -> None:
        """Make all evidence stale and probe at once, as after a pause of this process."""
        self.counters.add("evidence_forgotten")
        for link in self.links_by_name.values():
            link.endpoint.forget_evidence()
            link.probe_now()

    async def next_evidence(self, timeout_ms: float) -> None:
        """Wait until an endpoint answers or the endpoints change, at most `timeout_ms`."""
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self.evidence_waiters.append(waiter)
        timer = loop.call_later(timeout_ms / 1000.0, wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            if waiter in self.evidence_waiters:
                self.evidence_waiters.remove(waiter)

    async def stop(self) -> None:
        """Close every link."""
        links = [*self.links_by_name.values(), *self.retiring]
        await asyncio.gather(*(link.stop() for link in links))

    def _link_to(self, name: str, publication: Publication) -> None:
        service = publication.services_by_endpoint[name]
        spec = publication.endpoints_by_name[name]
        holders = self.holders.holders_of(name, service.connections)
        limit = service.connections
        if self.policy.holders:
            limit = self._share(holders, limit)
        link = self.links_by_name.get(name) or self._revived(spec)
        if link is None:
            link = self._new_link(spec, limit)
        endpoint = link.endpoint
        endpoint.spec = spec
        endpoint.is_held = limit > 0
        endpoint.slots = service.slots
        endpoint.limit.least = max(1, -(-service.slots // max(1, len(holders))))
        self.links_by_name[name] = link
        link.set_limit(limit)

    def _share(self, holders: Sequence[str], cap: int) -> int:
        """Return how many connections this instance may have to an endpoint.

        Instances that callers are not sent to open few of theirs, so carriers have half of the cap
        for themselves beside the share of all holders.
        """
        share = share_of_holder(len(holders), cap) if self.own_name in holders else 0
        if self.carriers is None:
            return share
        return max(share, share_of_holder(self.carriers, int(CARRIERS_PART * cap)))

    def _new_link(self, spec: EndpointSpec, limit: int) -> Link:
        endpoint = Endpoint(
            spec=spec,
            slots=0,
            may_eject=self._may_eject,
            on_change=self._note_change,
            ejection=Ejection(steady=self.policy.steady_recovery),
            limit=InFlightLimit(),
        )
        if not self.policy.probes:
            endpoint.is_vouched_for = True
            # It takes its full share from the moment at which it is no longer cold.
            endpoint.live_since_ms = self.clock.now_ms() + spec.cold_for_ms - RAMP_MS
            endpoint.latency.rise_weight = FEW_REQUESTS_RISE_WEIGHT
        endpoint.list_as_leaving(spec.name in self.leaving_names, self.clock.now_ms())
        return Link(
            endpoint=endpoint,
            open_channel=self.open_channel,
            clock=self.clock,
            counters=self.counters,
            connection_limit=limit,
            policy=self.policy,
            on_evidence=self._evidence_came,
        )

    def _retire(self, link: Link) -> None:
        link.retire()
        self.retiring = [known for known in self.retiring if known.tasks]
        self.retiring.append(link)

    def _revived(self, spec: EndpointSpec) -> Link | None:
        """Return the retired link to the same endpoint, so that its connections still count."""
        for link in self.retiring:
            known = link.endpoint.spec
            if (known.name, known.address) != (spec.name, spec.address):
                continue
            self.retiring.remove(link)
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
        ejected = sum(replica.ejection.since_ms is not None for replica in replicas)
        if ejected < ejectable(len(replicas)):
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
        while self.evidence_waiters:
            wake(self.evidence_waiters.pop())

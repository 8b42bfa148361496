"""The root of the discovery aggregate: the listed endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from radishmount.digest import digest_of_items
from radishmount.discovery._listed_endpoint import ListedEndpoint
from radishmount.publication import EndpointSpec, Evacuation, Publication, Service


__all__ = ["EndpointList"]

GRACE_PERIOD_MS = 2_500.0  # entries that lapsed in an outage return within 2 s after it
DEPARTURE_KEPT_MS = 60_000.0  # after the entry was removed; far longer than a write is delayed
RETURNED_UNUSED_MS = 10_000.0  # longer than an entry that nobody writes takes to lapse
MAX_EVACUATED = 200  # bounds what an odd writer adds to each page for peers


@dataclass(slots=True)
class EndpointList:
    """The listed endpoints by name. An invalid entry removes its own endpoint and no other.

    During an outage of the store, the entries of live endpoints lapse too. Therefore an endpoint
    whose entry is missing right after an outage is kept for a grace period; `expire` drops it if
    its entry does not return.

    A start of an endpoint that has announced that it is leaving does not come back, whatever an
    entry says that is written or read later: `departed_at_ms_by_start` has the name and the start
    time of each, and when that was last confirmed. Where entries lack the time of the start, they
    cannot be told from those of a new start, so the newest entry counts, and what an endpoint has
    announced in a response lapses.

    `evacuated_data_centres` are those to which the operator wants nothing sent. These entries do
    not lapse in an outage, so their removal takes effect at once.

    A store that comes back from an older copy begins a new era. What was written since the copy
    was made is missing until it is written again, which takes seconds. So the endpoints and the
    evacuations that are missing then are kept for a grace period; the latter are
    `missing_evacuations`. What was removed since then is listed again until it is removed again, or
    until the entry lapses. So an endpoint of which `removed_at_ms_by_start` tells that its entry
    was gone gets nothing until `unused_until_ms_by_start`.
    """

    by_name: dict[str, ListedEndpoint] = field(default_factory=dict)
    missing_until_ms_by_name: dict[str, float] = field(default_factory=dict)
    grace_until_ms: float = float("-inf")
    departed_at_ms_by_start: dict[tuple[str, int], float] = field(default_factory=dict)
    evacuated_data_centres: frozenset[str] = frozenset()
    missing_evacuations: frozenset[str] = frozenset()
    removed_at_ms_by_start: dict[tuple[str, int], float] = field(default_factory=dict)
    unused_until_ms_by_start: dict[tuple[str, int], float] = field(default_factory=dict)
    known_digest: int | None = None

    def begin_grace(self, now_ms: float) -> None:
        """Begin the grace period, as the store has just become reachable again."""
        self.grace_until_ms = now_ms + GRACE_PERIOD_MS

    def begin_era(self, now_ms: float) -> None:
        """Keep what the store may have lost, as it has come back from an older copy."""
        self.begin_grace(now_ms)
        self.missing_evacuations = self.evacuated_data_centres
        # Where entries lack the time of the start, leaving is known from the entry alone.
        draining = [(e.name, e.started_at_ms) for e in self.by_name.values() if e.is_draining]
        for start in (*self.removed_at_ms_by_start, *draining):
            self.unused_until_ms_by_start[start] = now_ms + RETURNED_UNUSED_MS

    def put(self, name: str, endpoint: ListedEndpoint | None, now_ms: float) -> None:
        """Set the endpoint of the entry `name`; none means that the entry is invalid."""
        if endpoint is None:
            self.remove(name, now_ms)
            return
        if self.missing_until_ms_by_name.pop(name, None) or self.by_name.get(name) != endpoint:
            self.known_digest = None
        self.by_name[name] = endpoint
        self.removed_at_ms_by_start.pop((name, endpoint.started_at_ms), None)
        if endpoint.is_draining and endpoint.started_at_ms:
            self.record_departure(name, now_ms)

    def record_departure(self, name: str, now_ms: float) -> None:
        """Record that an endpoint announced that it is leaving, in its entry or in a response."""
        endpoint = self.by_name.get(name)
        if endpoint is not None:
            self.departed_at_ms_by_start[name, endpoint.started_at_ms] = now_ms

    def remove(self, name: str, now_ms: float) -> None:
        """Remove an endpoint: at once, or at the end of a grace period that has begun."""
        if name not in self.by_name:
            return
        self.known_digest = None
        if now_ms < self.grace_until_ms:
            self.missing_until_ms_by_name.setdefault(name, self.grace_until_ms)
            return
        self._drop(name, now_ms)

    def _drop(self, name: str, now_ms: float) -> None:
        endpoint = self.by_name.pop(name, None)
        if endpoint is not None:
            self.removed_at_ms_by_start[name, endpoint.started_at_ms] = now_ms

    def keep_missing(self, name: str, now_ms: float) -> None:
        """Keep an endpoint whose entry is gone for a grace period from now, as a peer does."""
        if name in self.by_name:
            self.known_digest = None
            self.missing_until_ms_by_name.setdefault(name, now_ms + GRACE_PERIOD_MS)

    def set_evacuated(self, data_centres: Iterable[str]) -> bool:
        """Replace the evacuated data centres; return whether this changed anything.

        Of more than `MAX_EVACUATED`, those that have endpoints are kept first.
        """
        used = {endpoint.data_centre for endpoint in self.by_name.values()}
        ranked = sorted(data_centres, key=lambda name: (name not in used, name))
        evacuated = frozenset(ranked[:MAX_EVACUATED])
        if evacuated == self.evacuated_data_centres:
            return False
        self.evacuated_data_centres = evacuated
        self.known_digest = None
        return True

    def replace_all(
        self, endpoints_by_name: dict[str, ListedEndpoint | None], now_ms: float
    ) -> None:
        """Apply a full read of the store: endpoints that it lacks have been removed."""
        for name in set(self.by_name) - set(endpoints_by_name):
            self.remove(name, now_ms)
        for name, endpoint in endpoints_by_name.items():
            self.put(name, endpoint, now_ms)

    def present_by_name(self) -> dict[str, ListedEndpoint]:
        """Return the endpoints whose entries exist, without those kept in grace."""
        missing = self.missing_until_ms_by_name
        return {name: entry for name, entry in self.by_name.items() if name not in missing}

    def present_endpoints(self) -> list[ListedEndpoint]:
        """Return the endpoints whose entries exist, sorted by name, without those kept in grace."""
        present_by_name = self.present_by_name()
        return [present_by_name[name] for name in sorted(present_by_name)]

    def apply_peer_state(
        self, endpoints: Iterable[ListedEndpoint], missing: Iterable[str], now_ms: float
    ) -> None:
        """Apply the endpoints of a peer; those `missing` there get a grace period here too."""
        by_name: dict[str, ListedEndpoint | None] = {entry.name: entry for entry in endpoints}
        kept = set(missing) & set(self.by_name) - set(by_name)
        for name in kept:
            self.keep_missing(name, now_ms)
            by_name[name] = self.by_name[name]
        grace = {name: self.missing_until_ms_by_name[name] for name in kept}
        self.replace_all(by_name, now_ms)
        self.missing_until_ms_by_name |= grace
        self.known_digest = None

    def expire(self, now_ms: float) -> bool:
        """Drop what was kept for a time that is over; return whether this changed anything."""
        expired = [name for name, until in self.missing_until_ms_by_name.items() if until <= now_ms]
        for name in expired:
            del self.missing_until_ms_by_name[name]
            self._drop(name, now_ms)
        self._expire_departures(now_ms)
        returned = [s for s, until in self.unused_until_ms_by_start.items() if until <= now_ms]
        for start in returned:
            del self.unused_until_ms_by_start[start]
        ended = bool(self.missing_evacuations) and now_ms >= self.grace_until_ms
        if ended:
            self.missing_evacuations = frozenset()
        return bool(expired or returned) or ended

    def _expire_departures(self, now_ms: float) -> None:
        """Forget the starts that have not been listed for `DEPARTURE_KEPT_MS`."""
        for start, at_ms in list(self.departed_at_ms_by_start.items()):
            name, started_at_ms = start
            endpoint = self.by_name.get(name)
            is_listed = endpoint is not None and endpoint.started_at_ms == started_at_ms
            if is_listed and started_at_ms:
                self.departed_at_ms_by_start[start] = now_ms
            elif now_ms - at_ms > DEPARTURE_KEPT_MS:
                del self.departed_at_ms_by_start[start]
        for start, at_ms in list(self.removed_at_ms_by_start.items()):
            if now_ms - at_ms > DEPARTURE_KEPT_MS:
                del self.removed_at_ms_by_start[start]

    @property
    def digest(self) -> int:
        """Return a digest of the endpoints whose entries exist, and of the evacuations.

        Without an evacuation it is the same as in versions that do not know of any.
        """
        if self.known_digest is None:
            evacuations = [("evacuated", name) for name in self.evacuated_data_centres]
            self.known_digest = digest_of_items([*self.present_by_name().values(), *evacuations])
        return self.known_digest

    @property
    def draining_names(self) -> frozenset[str]:
        """Return the names of the endpoints that are leaving, or may have left."""
        starts = self.departed_at_ms_by_start.keys() | self.unused_until_ms_by_start.keys()
        return frozenset(
            name
            for name, endpoint in self.by_name.items()
            if endpoint.is_draining or (name, endpoint.started_at_ms) in starts
        )

    @property
    def all_evacuated_data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres, with those whose entries are missing for now."""
        return self.evacuated_data_centres | self.missing_evacuations

    def merge_into(self, publication: Publication) -> Publication:
        """Return `publication` with the endpoints, slots and evacuations as listed here."""
        specs_by_service: dict[str, list[EndpointSpec]] = {}
        slots_by_service: dict[str, int] = {}
        for endpoint in self.by_name.values():
            spec = EndpointSpec(
                endpoint.name,
                endpoint.data_centre,
                endpoint.address,
                endpoint.cold_for_ms,
                endpoint.started_at_ms,
            )
            specs_by_service.setdefault(endpoint.service, []).append(spec)
            max_slots = max(slots_by_service.get(endpoint.service, 0), endpoint.slots)
            slots_by_service[endpoint.service] = max_slots
        services_by_name: dict[str, Service] = {}
        for name, service in publication.services_by_name.items():
            services_by_name[name] = replace(
                service,
                slots=slots_by_service.get(name, 0),
                endpoints=tuple(specs_by_service.get(name, ())),
            )
        # Names of published objects have no slash, so these are none of them.
        listed = [
            Evacuation(f"listed/{name}", name) for name in sorted(self.all_evacuated_data_centres)
        ]
        evacuations_by_name = {evacuation.name: evacuation for evacuation in listed}
        return replace(
            publication,
            services_by_name=services_by_name,
            evacuations_by_name={**publication.evacuations_by_name, **evacuations_by_name},
        )

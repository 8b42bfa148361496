"""The root of the aggregate: the endpoints that are listed now, by name."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from radishmount.discovery._listed_endpoint import ListedEndpoint
from radishmount.publication import EndpointSpec, Publication, Service


__all__ = ["EndpointList"]

LAPSE_GRACE_MS = 2_500.0  # entries that lapsed in an outage are back within two seconds of its end


@dataclass(slots=True)
class EndpointList:
    """The listed endpoints by name. An invalid entry names no endpoint and disturbs no other.

    Entries lapse while the store is away although their endpoints live. So an entry that is
    missing right after an outage is kept for a while; `expire` drops it if it does not come back.
    """

    by_name: dict[str, ListedEndpoint] = field(default_factory=dict)
    missing_until_ms_by_name: dict[str, float] = field(default_factory=dict)
    lenient_until_ms: float = float("-inf")

    def begin_grace(self, now_ms: float) -> None:
        """Take note that the store has just come back."""
        self.lenient_until_ms = now_ms + LAPSE_GRACE_MS

    def put(self, name: str, listed: ListedEndpoint | None, now_ms: float) -> None:
        """Take what was written for the endpoint `name`."""
        if listed is None:
            self.remove(name, now_ms)
            return
        self.missing_until_ms_by_name.pop(name, None)
        self.by_name[name] = listed

    def remove(self, name: str, now_ms: float) -> None:
        """Take the end of an entry, at once or after the time of grace."""
        if name not in self.by_name:
            return
        if now_ms < self.lenient_until_ms:
            self.missing_until_ms_by_name.setdefault(name, self.lenient_until_ms)
            return
        del self.by_name[name]

    def keep_missing(self, name: str, now_ms: float) -> None:
        """Keep an entry for a while that a peer keeps although it is gone."""
        if name in self.by_name:
            self.missing_until_ms_by_name.setdefault(name, now_ms + LAPSE_GRACE_MS)

    def replace_all(self, listed_by_name: dict[str, ListedEndpoint | None], now_ms: float) -> None:
        """Take a full reading: what is not in it has been removed meanwhile."""
        for name in set(self.by_name) - set(listed_by_name):
            self.remove(name, now_ms)
        for name, listed in listed_by_name.items():
            self.put(name, listed, now_ms)

    def listed_now(self) -> list[ListedEndpoint]:
        """Return the endpoints whose entries are there, by name, without those kept in grace."""
        names = sorted(set(self.by_name) - set(self.missing_until_ms_by_name))
        return [self.by_name[name] for name in names]

    def take_all(
        self, listed: Iterable[ListedEndpoint], missing: Iterable[str], now_ms: float
    ) -> None:
        """Take what a peer holds; what is `missing` there is kept here for a time of grace too."""
        by_name: dict[str, ListedEndpoint | None] = {entry.name: entry for entry in listed}
        kept = set(missing) & set(self.by_name) - set(by_name)
        for name in kept:
            self.keep_missing(name, now_ms)
            by_name[name] = self.by_name[name]
        grace = {name: self.missing_until_ms_by_name[name] for name in kept}
        self.replace_all(by_name, now_ms)
        self.missing_until_ms_by_name |= grace

    def expire(self, now_ms: float) -> bool:
        """Drop the entries whose time of grace is over; tell whether there were any."""
        over = [name for name, until in self.missing_until_ms_by_name.items() if until <= now_ms]
        for name in over:
            del self.missing_until_ms_by_name[name]
            self.by_name.pop(name, None)
        return bool(over)

    @property
    def draining_names(self) -> frozenset[str]:
        """Return the endpoints that said that they leave."""
        return frozenset(name for name, listed in self.by_name.items() if listed.is_draining)

    def merge_into(self, publication: Publication) -> Publication:
        """Return `publication` with the listed endpoints of each service that it names."""
        specs_by_service: dict[str, list[EndpointSpec]] = {}
        slots_by_service: dict[str, int] = {}
        for listed in self.by_name.values():
            spec = EndpointSpec(listed.name, listed.data_centre, listed.address, listed.cold_for_ms)
            specs_by_service.setdefault(listed.service, []).append(spec)
            most = max(slots_by_service.get(listed.service, 0), listed.slots)
            slots_by_service[listed.service] = most
        services_by_name: dict[str, Service] = {}
        for name, service in publication.services_by_name.items():
            services_by_name[name] = replace(
                service,
                slots=slots_by_service.get(name, 0),
                endpoints=tuple(specs_by_service.get(name, ())),
            )
        return replace(publication, services_by_name=services_by_name)

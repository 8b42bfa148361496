"""All endpoints of the publication in force, and the links to them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.endpoints._carried import Carried
from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._exchange import OpenChannel
from radishmount.endpoints._holders import connections_of_holder
from radishmount.endpoints._link import Link
from radishmount.publication import Publication


__all__ = ["EndpointPool"]


@dataclass(slots=True)
class EndpointPool:
    """The endpoints by name, with their links, as the publication in force names them."""

    own_name: str
    open_channel: OpenChannel
    clock: Clock
    counters: Counters
    links_by_name: dict[str, Link] = field(default_factory=dict)
    links_by_service: dict[str, list[Link]] = field(default_factory=dict)

    def endpoints_of(self, service: str) -> Iterable[Endpoint]:
        """Yield the endpoints of `service`."""
        for link in self.links_by_service.get(service, ()):
            yield link.endpoint

    def submit(self, attempt: Carried) -> None:
        """Send `attempt` over the link of its endpoint."""
        self.links_by_name[attempt.endpoint.name].submit(attempt)

    async def take_publication(self, publication: Publication, instances: Iterable[str]) -> None:
        """Link to the endpoints that are new, and close the links to those that are gone."""
        names = sorted(instances)
        gone = set(self.links_by_name) - set(publication.endpoints_by_name)
        for name in gone:
            await self.links_by_name.pop(name).stop()
        for name in publication.endpoints_by_name:
            self._link_to(name, publication, names)
        self.links_by_service = {
            service.name: [self.links_by_name[spec.name] for spec in service.endpoints]
            for service in publication.services_by_name.values()
        }

    def take_leaving(self, names: frozenset[str]) -> None:
        """Mark the endpoints that the instance list tells are leaving."""
        for name, link in self.links_by_name.items():
            link.endpoint.listed_as_leaving = name in names

    async def stop(self) -> None:
        """Close every link."""
        for link in self.links_by_name.values():
            await link.stop()

    def _link_to(self, name: str, publication: Publication, instances: list[str]) -> None:
        service = publication.services_by_endpoint[name]
        limit = connections_of_holder(name, self.own_name, instances, service.connections)
        known = self.links_by_name.get(name)
        if known is not None:
            known.connection_limit = limit
            return
        endpoint = Endpoint(spec=publication.endpoints_by_name[name], slots=service.slots)
        link = Link(endpoint, self.open_channel, self.clock, self.counters, limit)
        self.links_by_name[name] = link
        link.start()

"""All stand-ins of one trial run: the endpoints, and one platform for each instance."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from radishmount.border import write_bundle
from radishmount.publication import Shard
from radishmount.standins._endpoint import EndpointStandIn
from radishmount.standins._network import DelayMs, link_delay
from radishmount.standins._platform import ListedInstance, PlatformStandIn
from radishmount.standins._serve import StandInServer, serve_stand_in
from radishmount.trial import (
    EndpointRecord,
    FaultPlan,
    ServicePlan,
    TrialPlan,
    objects_of,
    shards_of,
)


__all__ = ["PlatformView", "SimulatedRegion", "start_simulated_region"]

FIRST_INDEX_VERSION = 1


@dataclass(slots=True)
class PlatformView:
    """The platform as one instance sees it. While `stale`, it gets no new publications or lists."""

    platform: PlatformStandIn
    server: StandInServer
    stale: bool = False


@dataclass(slots=True)
class SimulatedRegion:
    """The stand-ins of a run by name, what is published, and the newest index version.

    `repartitions` are those that have happened; `bundle` and `shards` are the newest published.
    """

    plan: TrialPlan
    endpoints_by_name: dict[str, EndpointStandIn] = field(default_factory=dict)
    views_by_entry: dict[str, PlatformView] = field(default_factory=dict)
    listed_by_name: dict[str, ListedInstance] = field(default_factory=dict)
    repartitions: list[FaultPlan] = field(default_factory=list)
    publication_version: int = 0
    index_version: int = FIRST_INDEX_VERSION
    bundle: bytes = b""
    shards: list[Shard] = field(default_factory=list)

    @property
    def records(self) -> list[EndpointRecord]:
        """Return the records of all endpoints."""
        return [record for e in self.endpoints_by_name.values() for record in e.records]

    @property
    def platform_reads(self) -> int:
        """Return the number of requests to the platform; a long poll counts as one."""
        return sum(view.platform.reads for view in self.views_by_entry.values())

    @property
    def platform_bytes(self) -> int:
        """Return how many bytes of values and instance lists the platform sent."""
        return sum(view.platform.sent_bytes for view in self.views_by_entry.values())

    @property
    def probes(self) -> int:
        """Return how many probes the endpoints received."""
        return sum(endpoint.probes for endpoint in self.endpoints_by_name.values())

    @property
    def connections_over_cap(self) -> int:
        """Return how many connections exceeded the caps of the endpoints."""
        return sum(_server_of(e).over_cap for e in self.endpoints_by_name.values())

    def address_of(self, endpoint: str) -> str:
        """Return the address of an endpoint."""
        return str(_server_of(self.endpoints_by_name[endpoint]).address)

    def addresses_by_service(self) -> dict[str, list[str]]:
        """Return the addresses of the endpoints of each service."""
        return {
            service.name: [self.address_of(name) for name in service.endpoint_names()]
            for service in self.plan.region.services
        }

    def delay_by_address(self, data_centre: str, random: Random) -> dict[str, DelayMs]:
        """Return the delays from `data_centre` to the endpoints in other data centres."""
        region = self.plan.region
        delays = {}
        for service in region.services:
            for index, name in enumerate(service.endpoint_names()):
                if region.data_centre_of(index) != data_centre:
                    delay = link_delay(region.between_data_centres_ms, random)
                    delays[self.address_of(name)] = delay
        return delays

    def endpoints_named(self, names: Iterable[str]) -> list[EndpointStandIn]:
        """Return the endpoints that `names` name by themselves or by their service."""
        wanted = set(names)
        return [e for e in self.endpoints_by_name.values() if wanted & {e.name, e.service}]

    async def publish(self) -> None:
        """Publish the next version of the objects, to every instance whose view is not stale."""
        self.publication_version += 1
        address_by_endpoint = {name: self.address_of(name) for name in self.endpoints_by_name}
        objects = objects_of(self.plan, address_by_endpoint, self.repartitions)
        self.bundle = write_bundle(self.publication_version, objects)
        self.shards = shards_of(self.plan, self.repartitions)
        shards_by_name = {shard.name: shard for shard in self.shards}
        for endpoint in self.endpoints_by_name.values():
            endpoint.shards_by_name = shards_by_name
        for view in self._current_views():
            await view.platform.publish(self.publication_version, self.bundle)

    async def list_instances(self, *instances: ListedInstance) -> None:
        """Add items to the instance list, or replace those of the same name."""
        for instance in instances:
            self.listed_by_name[instance.name] = instance
        for view in self._current_views():
            await view.platform.list_instances(*instances)

    async def remove_instance(self, name: str) -> None:
        """Remove an item from the instance list."""
        self.listed_by_name.pop(name, None)
        for view in self._current_views():
            await view.platform.remove_instance(name)

    async def refresh(self, view: PlatformView) -> None:
        """Bring `view` up to date with what is published and listed now."""
        await view.platform.publish(self.publication_version, self.bundle)
        for name in set(view.platform.listed_by_name) - set(self.listed_by_name):
            await view.platform.remove_instance(name)
        await view.platform.list_instances(*self.listed_by_name.values())

    def views_of(self, entries: Sequence[str]) -> list[PlatformView]:
        """Return the platform views of the instances `entries`, or all views if it is empty."""
        names = entries or list(self.views_by_entry)
        return [self.views_by_entry[name] for name in names if name in self.views_by_entry]

    async def stop(self) -> None:
        """Stop every stand-in."""
        for endpoint in self.endpoints_by_name.values():
            await _server_of(endpoint).stop()
        for view in self.views_by_entry.values():
            await view.server.stop()

    def _current_views(self) -> list[PlatformView]:
        return [view for view in self.views_by_entry.values() if not view.stale]


async def start_simulated_region(plan: TrialPlan, entries: Iterable[str]) -> SimulatedRegion:
    """Start the stand-ins of `plan`, with a platform view for each of the instances `entries`.

    Publishes the objects of the plan.
    """
    simulated_region = SimulatedRegion(plan)
    for service in plan.region.services:
        for name in service.endpoint_names():
            simulated_region.endpoints_by_name[name] = await _start_endpoint(plan, service, name)
    for name in entries:
        platform = PlatformStandIn()
        simulated_region.views_by_entry[name] = PlatformView(
            platform, await serve_stand_in(platform.app())
        )
    await simulated_region.publish()
    return simulated_region


async def _start_endpoint(plan: TrialPlan, service: ServicePlan, name: str) -> EndpointStandIn:
    random = Random(f"{plan.seed}/endpoint/{name}")
    versions = {FIRST_INDEX_VERSION}
    endpoint = EndpointStandIn(name, service.slots, versions, random, service=service.name)
    endpoint.behaviour.service_ms = service.service_ms
    endpoint.behaviour.slow_ratio = service.slow_ratio
    endpoint.behaviour.slow_ms = service.slow_ms
    endpoint.behaviour.connect_ms = service.connect_ms
    endpoint.server = await serve_stand_in(endpoint.app(), connection_cap=service.connections)
    return endpoint


def _server_of(endpoint: EndpointStandIn) -> StandInServer:
    assert endpoint.server is not None
    return endpoint.server

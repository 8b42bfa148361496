"""Builds the admission of an instance from its endpoints and the active publication."""

from collections.abc import Iterable

from radishmount.admission import Admission, queued_per_slot, share_of_slots
from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.endpoints import EndpointPool
from radishmount.fleet import Fleet
from radishmount.publication import ActivePublication


__all__ = ["make_node_admission"]


def make_node_admission(
    clock: Clock,
    counters: Counters,
    pool: EndpointPool,
    fleet: Fleet,
    active_publication: ActivePublication,
) -> Admission:
    """Return an admission whose limits follow the endpoints behind each target."""

    def services_of(target: str) -> Iterable[str]:
        """Return the services behind `target`: all of a collection's shards, or the service."""
        shards = active_publication.current.shards_by_collection.get(target)
        return [target] if shards is None else {shard.service for shard in shards}

    def slot_share_of(target: str) -> float:
        now_ms = clock.now_ms()
        instances = len(fleet.listed_names)
        shares = [
            share_of_slots(pool.endpoints_of(service), instances, now_ms)
            for service in services_of(target)
        ]
        return min(shares, default=0.0)

    def queued_per_slot_of(target: str) -> float:
        now_ms = clock.now_ms()
        instances = len(fleet.listed_names)
        ratios = [
            queued_per_slot(pool.endpoints_of(service), instances, now_ms)
            for service in services_of(target)
        ]
        return max(ratios, default=0.0)

    return Admission(clock, counters, slot_share_of, queued_per_slot_of)

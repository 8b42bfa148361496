"""The root of the aggregate: one index version and the shards that answer at it."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from radishmount.endpoints import Endpoint
from radishmount.publication import KeyRange, Shard


__all__ = ["Snapshot", "choose_partial_snapshot", "choose_complete_snapshot", "may_become_complete"]

EndpointsOf = Callable[[str], Iterable[Endpoint]]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One index version of a collection, with the shard map of that version."""

    collection: str
    index_version: int
    shards: tuple[Shard, ...]

    def shards_for(self, keys: KeyRange) -> list[Shard]:
        """Return the shards that hold some key of `keys`."""
        return [shard for shard in self.shards if shard.keys.overlaps(keys)]


def choose_complete_snapshot(
    collection: str,
    shards: Sequence[Shard],
    endpoints_of: EndpointsOf,
    now_ms: float,
    given_up: Collection[int] = (),
) -> Snapshot | None:
    """Return the highest version that a well replica of every shard of its map holds.

    `given_up` are versions that a search has found it cannot be answered from.
    """
    versions_by_service = _versions_by_service(shards, endpoints_of, now_ms, Endpoint.is_healthy)
    for index_version in _known(versions_by_service, given_up):
        in_map = _map_of(shards, index_version)
        if in_map and not _lost(in_map, index_version, versions_by_service):
            return Snapshot(collection, index_version, in_map)
    return None


def choose_partial_snapshot(
    collection: str,
    shards: Sequence[Shard],
    endpoints_of: EndpointsOf,
    now_ms: float,
    given_up: Collection[int] = (),
) -> Snapshot | None:
    """Return the version that leaves the fewest shards without a live replica, the highest first.

    It serves where no version is whole. Some shard is answered, or there is no snapshot at all.
    """
    versions_by_service = _versions_by_service(shards, endpoints_of, now_ms, Endpoint.is_available)
    best: Snapshot | None = None
    fewest_lost = len(shards)
    for index_version in _known(versions_by_service, given_up):
        in_map = _map_of(shards, index_version)
        lost = _lost(in_map, index_version, versions_by_service)
        if lost < min(fewest_lost, len(in_map)):
            best = Snapshot(collection, index_version, in_map)
            fewest_lost = lost
    return best


def may_become_complete(shards: Sequence[Shard], endpoints_of: EndpointsOf, now_ms: float) -> bool:
    """Tell whether a service without a live replica has one whose evidence is merely old."""
    for service in {shard.service for shard in shards}:
        endpoints = list(endpoints_of(service))
        if any(endpoint.is_available(now_ms) for endpoint in endpoints):
            continue
        if any(endpoint.awaits_probe(now_ms) for endpoint in endpoints):
            return True
    return False


def _versions_by_service(
    shards: Sequence[Shard],
    endpoints_of: EndpointsOf,
    now_ms: float,
    is_fit: Callable[[Endpoint, float], bool],
) -> dict[str, set[int]]:
    by_service: dict[str, set[int]] = {}
    for shard in shards:
        if shard.service in by_service:
            continue
        versions = by_service[shard.service] = set()
        for endpoint in endpoints_of(shard.service):
            if not is_fit(endpoint, now_ms):
                continue
            versions.update(v for v in endpoint.versions if endpoint.holds(v, now_ms))
    return by_service


def _known(versions_by_service: Mapping[str, set[int]], given_up: Collection[int]) -> Iterable[int]:
    """Return the versions that any service holds, the highest first."""
    known: set[int] = set()
    for versions in versions_by_service.values():
        known |= versions
    return sorted(known.difference(given_up), reverse=True)


def _map_of(shards: Sequence[Shard], index_version: int) -> tuple[Shard, ...]:
    return tuple(shard for shard in shards if shard.is_in(index_version))


def _lost(
    in_map: Sequence[Shard], index_version: int, versions_by_service: Mapping[str, set[int]]
) -> int:
    """Return how many shards of a map no service holds at a version."""
    return sum(index_version not in versions_by_service[shard.service] for shard in in_map)

"""The root of the aggregate: one index version and the shards that serve it."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from radishmount.endpoints import Endpoint
from radishmount.publication import KeyRange, Shard


__all__ = ["Snapshot", "choose_partial_snapshot", "choose_complete_snapshot", "may_become_complete"]

EndpointsOf = Callable[[str], Iterable[Endpoint]]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One index version of a collection, with the shards in the shard map of that version."""

    collection: str
    index_version: int
    shards: tuple[Shard, ...]

    def shards_for(self, keys: KeyRange) -> list[Shard]:
        """Return the shards whose key range overlaps `keys`."""
        return [shard for shard in self.shards if shard.keys.overlaps(keys)]


def choose_complete_snapshot(
    collection: str,
    shards: Sequence[Shard],
    endpoints_of: EndpointsOf,
    now_ms: float,
    excluded_versions: Collection[int] = (),
) -> Snapshot | None:
    """Return the snapshot of the highest version that can be answered completely, or none.

    A healthy replica of every shard in the shard map of that version must hold the version.

    `excluded_versions` are versions that a search has already tried without success.
    """
    versions_by_service = _versions_by_service(shards, endpoints_of, now_ms, Endpoint.is_healthy)
    for index_version in _known_versions(versions_by_service, excluded_versions):
        shards_of_version = _shards_of_version(shards, index_version)
        if shards_of_version and not _count_unavailable(
            shards_of_version, index_version, versions_by_service
        ):
            return Snapshot(collection, index_version, shards_of_version)
    return None


def choose_partial_snapshot(
    collection: str,
    shards: Sequence[Shard],
    endpoints_of: EndpointsOf,
    now_ms: float,
    excluded_versions: Collection[int] = (),
) -> Snapshot | None:
    """Return the snapshot of the version for which the fewest shards lack an available replica.

    Of several such versions the highest is chosen. The partial snapshot is used when no version
    is complete. The result is none if no shard can answer at any version.
    """
    versions_by_service = _versions_by_service(shards, endpoints_of, now_ms, Endpoint.is_available)
    best: Snapshot | None = None
    fewest_unavailable = len(shards)
    for index_version in _known_versions(versions_by_service, excluded_versions):
        shards_of_version = _shards_of_version(shards, index_version)
        unavailable = _count_unavailable(shards_of_version, index_version, versions_by_service)
        if unavailable < min(fewest_unavailable, len(shards_of_version)):
            best = Snapshot(collection, index_version, shards_of_version)
            fewest_unavailable = unavailable
    return best


def may_become_complete(shards: Sequence[Shard], endpoints_of: EndpointsOf, now_ms: float) -> bool:
    """Return whether a service without an available replica has one that only awaits a probe."""
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
    is_usable: Callable[[Endpoint, float], bool],
) -> dict[str, set[int]]:
    by_service: dict[str, set[int]] = {}
    for shard in shards:
        if shard.service in by_service:
            continue
        versions = by_service[shard.service] = set()
        for endpoint in endpoints_of(shard.service):
            if not is_usable(endpoint, now_ms):
                continue
            versions.update(v for v in endpoint.versions if endpoint.holds(v, now_ms))
    return by_service


def _known_versions(
    versions_by_service: Mapping[str, set[int]], excluded_versions: Collection[int]
) -> Iterable[int]:
    """Return the versions that at least one service holds, the highest first."""
    known: set[int] = set()
    for versions in versions_by_service.values():
        known |= versions
    return sorted(known.difference(excluded_versions), reverse=True)


def _shards_of_version(shards: Sequence[Shard], index_version: int) -> tuple[Shard, ...]:
    return tuple(shard for shard in shards if shard.is_in(index_version))


def _count_unavailable(
    shards_of_version: Sequence[Shard],
    index_version: int,
    versions_by_service: Mapping[str, set[int]],
) -> int:
    """Return how many of the shards have a service that does not hold the version."""
    return sum(
        index_version not in versions_by_service[shard.service] for shard in shards_of_version
    )

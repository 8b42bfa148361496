"""The root of the aggregate: one index version and the shards that answer at it."""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

from radishmount.endpoints import Endpoint
from radishmount.publication import KeyRange, Shard


__all__ = ["Snapshot", "choose_snapshot", "may_become_whole"]

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


def choose_snapshot(
    collection: str,
    shards: Sequence[Shard],
    endpoints_of: EndpointsOf,
    now_ms: float,
    given_up: Collection[int] = (),
    *,
    partial: bool = False,
) -> Snapshot | None:
    """Return the highest version that a live replica of every shard of its map holds.

    With `partial` it may leave shards without one, as few as possible. `given_up` are versions
    that a search has found it cannot be answered from.
    """
    versions_by_service = {
        service: _live_versions(endpoints_of(service), now_ms)
        for service in {shard.service for shard in shards}
    }
    known = set().union(*versions_by_service.values()).difference(given_up)
    best: Snapshot | None = None
    fewest_lost = len(shards)
    for index_version in sorted(known, reverse=True):
        in_map = tuple(shard for shard in shards if shard.is_in(index_version))
        lost = sum(index_version not in versions_by_service[s.service] for s in in_map)
        if in_map and not lost:
            return Snapshot(collection, index_version, in_map)
        if partial and in_map and lost < min(fewest_lost, len(in_map)):
            best = Snapshot(collection, index_version, in_map)
            fewest_lost = lost
    return best


def may_become_whole(shards: Sequence[Shard], endpoints_of: EndpointsOf, now_ms: float) -> bool:
    """Tell whether a service without a live replica has one whose evidence is merely old."""
    for service in {shard.service for shard in shards}:
        endpoints = list(endpoints_of(service))
        if any(endpoint.is_live(now_ms) for endpoint in endpoints):
            continue
        if any(endpoint.awaits_evidence(now_ms) for endpoint in endpoints):
            return True
    return False


def _live_versions(endpoints: Iterable[Endpoint], now_ms: float) -> set[int]:
    versions: set[int] = set()
    for endpoint in endpoints:
        if endpoint.is_live(now_ms):
            versions.update(v for v in endpoint.versions if endpoint.holds(v, now_ms))
    return versions

"""The root of the aggregate: one index version and the shards that answer at it."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from radishmount.endpoints import Endpoint
from radishmount.publication import KeyRange, Shard


__all__ = ["Snapshot", "choose_snapshot"]


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
    endpoints_of: Callable[[str], Iterable[Endpoint]],
    now_ms: float,
    below: int | None = None,
) -> Snapshot | None:
    """Return the highest version that a live replica of every shard of its map holds.

    `below` leaves out that version and those above it, for a search that starts again.
    """
    versions_by_service = {
        service: _live_versions(endpoints_of(service), now_ms)
        for service in {shard.service for shard in shards}
    }
    known = frozenset().union(*versions_by_service.values())
    for index_version in sorted(known, reverse=True):
        if below is not None and index_version >= below:
            continue
        in_map = tuple(shard for shard in shards if shard.is_in(index_version))
        if in_map and all(index_version in versions_by_service[s.service] for s in in_map):
            return Snapshot(collection, index_version, in_map)
    return None


def _live_versions(endpoints: Iterable[Endpoint], now_ms: float) -> frozenset[int]:
    versions: frozenset[int] = frozenset()
    for endpoint in endpoints:
        if endpoint.may_take_work(now_ms):
            versions |= endpoint.versions
    return versions

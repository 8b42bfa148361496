"""Checks that the parts and the shards of a collection partition the keys.

The shards form one shard map for each index version. In a partition, exactly one range contains
each key.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from radishmount.codes import Code
from radishmount.publication._diagnostic import Diagnostic, subject_of
from radishmount.publication._key_range import ALL_KEYS, KeyRange
from radishmount.publication._objects import Collection, Shard


__all__ = ["check_partitioning"]

Defect = tuple[Code, str]


@dataclass(frozen=True, slots=True, order=True)
class NamedRange:
    """The key range of a part or shard, and its name. Ranges are ordered by their low key."""

    low: str
    name: str
    high: str | None = field(compare=False)


def check_partitioning(collection: Collection, shards: Sequence[Shard]) -> list[Diagnostic]:
    """Return a diagnostic for each overlap and hole in the parts and the shard maps.

    A defect that lasts over several index versions is reported at the first of them.
    """
    subject = subject_of(collection)
    diagnostics = []
    part_ranges = sorted(_named_range(part.name, part.keys) for part in collection.parts)
    for code, detail in _find_defects(part_ranges):
        diagnostics.append(Diagnostic(code, subject, f"parts: {detail}"))
    if not shards:
        diagnostics.append(Diagnostic(Code.HOLE_IN_SHARDS, subject, "it has no shard"))
    reported: set[Defect] = set()
    for index_version, defects in _defects_by_version(shards):
        for code, detail in defects:
            if (code, detail) not in reported:
                diagnostics.append(
                    Diagnostic(code, subject, f"index version {index_version}: {detail}")
                )
        reported = set(defects)
    return diagnostics


def _defects_by_version(shards: Sequence[Shard]) -> Iterable[tuple[int, list[Defect]]]:
    """Yield each index version at which the shard map changes, with the defects of the map.

    If the previous map was a partition, only added and removed shards and their neighbours are
    checked. The whole map is checked if that finds a defect, or if the previous map had one.
    """
    starts: dict[int, list[NamedRange]] = {}
    ends: dict[int, list[NamedRange]] = {}
    for shard in shards:
        shard_range = _named_range(shard.name, shard.keys)
        starts.setdefault(shard.since, []).append(shard_range)
        if shard.until is not None:
            ends.setdefault(shard.until, []).append(shard_range)
    active: list[NamedRange] = []
    is_partition = False
    for index_version in sorted({*starts, *ends}):
        removed = ends.get(index_version, [])
        added = starts.get(index_version, [])
        for shard_range in removed:
            _discard(active, shard_range)
        for shard_range in added:
            insort(active, shard_range)
        if is_partition and not any(
            _has_defect_near(active, changed) for changed in (*removed, *added)
        ):
            yield index_version, []
            continue
        defects = _find_defects(active)
        is_partition = not defects
        yield index_version, defects


def _find_defects(ranges: Sequence[NamedRange]) -> list[Defect]:
    """Return each overlap of `ranges`, which are sorted, and each hole that they leave."""
    defects: list[Defect] = []
    covered_to: str | None = ALL_KEYS.low
    last_name = ""
    for named_range in ranges:
        if covered_to is None or named_range.low < covered_to:
            defects.append(
                (
                    Code.OVERLAPPING_SHARDS,
                    f"{last_name} and {named_range.name} at {named_range.low!r}",
                )
            )
        elif named_range.low > covered_to:
            defects.append((Code.HOLE_IN_SHARDS, f"from {covered_to!r} to {named_range.low!r}"))
        if covered_to is not None and (named_range.high is None or named_range.high > covered_to):
            covered_to = named_range.high
            last_name = named_range.name
    if covered_to is not None:
        defects.append((Code.HOLE_IN_SHARDS, f"from {covered_to!r} on"))
    return defects


def _has_defect_near(active: Sequence[NamedRange], changed: NamedRange) -> bool:
    """Return whether the map has a defect at or beside `changed`, which was added or removed."""
    index = bisect_left(active, changed)
    first = max(0, index - 1)
    neighbours = active[first : index + 2]
    if not neighbours or (first == 0 and neighbours[0].low != ALL_KEYS.low):
        return True
    for before, after in zip(neighbours, neighbours[1:], strict=False):
        if before.high != after.low:
            return True
    return first + len(neighbours) == len(active) and neighbours[-1].high is not None


def _discard(active: list[NamedRange], named_range: NamedRange) -> None:
    index = bisect_left(active, named_range)
    if index < len(active) and active[index] == named_range:
        del active[index]


def _named_range(name: str, keys: KeyRange) -> NamedRange:
    return NamedRange(keys.low, name, keys.high)

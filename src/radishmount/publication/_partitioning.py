"""The check of key ranges: parts of a collection, and shard maps of every index version."""

from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from radishmount.codes import Code
from radishmount.publication._diagnostic import Diagnostic, subject_of
from radishmount.publication._key_range import ALL_KEYS, KeyRange
from radishmount.publication._objects import Collection, Shard


__all__ = ["check_partitioning"]

Gap = tuple[Code, str]


@dataclass(frozen=True, slots=True, order=True)
class Piece:
    """A key range and the name of the part or shard that has it, in the order of keys."""

    low: str
    name: str
    high: str | None = field(compare=False)


def check_partitioning(collection: Collection, shards: Sequence[Shard]) -> list[Diagnostic]:
    """Return a fault for each overlap and hole in the parts and the shard maps.

    A fault of a shard map is reported at the first index version that has it.
    """
    subject = subject_of(collection)
    faults = []
    parts = sorted(_piece(part.name, part.keys) for part in collection.parts)
    for code, detail in _gaps(parts):
        faults.append(Diagnostic(code, subject, f"parts: {detail}"))
    if not shards:
        faults.append(Diagnostic(Code.HOLE_IN_SHARDS, subject, "it has no shard"))
    known: set[Gap] = set()
    for index_version, gaps in _gaps_by_version(shards):
        for code, detail in gaps:
            if (code, detail) not in known:
                faults.append(Diagnostic(code, subject, f"index version {index_version}: {detail}"))
        known = set(gaps)
    return faults


def _gaps_by_version(shards: Sequence[Shard]) -> Iterable[tuple[int, list[Gap]]]:
    """Yield the gaps of the shard map at each index version at which it changes.

    From one version to the next only the neighbourhood of the shards that come or go is looked at;
    the whole map is gone through when that neighbourhood, or the version before, has a gap.
    """
    starts: dict[int, list[Piece]] = {}
    ends: dict[int, list[Piece]] = {}
    for shard in shards:
        piece = _piece(shard.name, shard.keys)
        starts.setdefault(shard.since, []).append(piece)
        if shard.until is not None:
            ends.setdefault(shard.until, []).append(piece)
    active: list[Piece] = []
    is_whole = False
    for index_version in sorted({*starts, *ends}):
        gone = ends.get(index_version, [])
        come = starts.get(index_version, [])
        for piece in gone:
            _discard(active, piece)
        for piece in come:
            insort(active, piece)
        if is_whole and not any(_touches_gap(active, piece) for piece in (*gone, *come)):
            yield index_version, []
            continue
        gaps = _gaps(active)
        is_whole = not gaps
        yield index_version, gaps


def _gaps(pieces: Sequence[Piece]) -> list[Gap]:
    """Return each overlap and each hole that `pieces`, in order, leave in all keys."""
    gaps: list[Gap] = []
    reached: str | None = ALL_KEYS.low
    last = ""
    for piece in pieces:
        if reached is None or piece.low < reached:
            gaps.append((Code.OVERLAPPING_SHARDS, f"{last} and {piece.name} at {piece.low!r}"))
        elif piece.low > reached:
            gaps.append((Code.HOLE_IN_SHARDS, f"from {reached!r} to {piece.low!r}"))
        if reached is not None and (piece.high is None or piece.high > reached):
            reached = piece.high
            last = piece.name
    if reached is not None:
        gaps.append((Code.HOLE_IN_SHARDS, f"from {reached!r} on"))
    return gaps


def _touches_gap(active: Sequence[Piece], changed: Piece) -> bool:
    """Tell whether the map has a gap beside or in the place of `changed`."""
    index = bisect_left(active, changed)
    first = max(0, index - 1)
    around = active[first : index + 2]
    if not around or (first == 0 and around[0].low != ALL_KEYS.low):
        return True
    for one, following in zip(around, around[1:], strict=False):
        if one.high != following.low:
            return True
    return first + len(around) == len(active) and around[-1].high is not None


def _discard(active: list[Piece], piece: Piece) -> None:
    index = bisect_left(active, piece)
    if index < len(active) and active[index] == piece:
        del active[index]


def _piece(name: str, keys: KeyRange) -> Piece:
    return Piece(keys.low, name, keys.high)

"""Coverage: which parts (named key ranges) of a collection an answer includes."""

from collections.abc import Iterable
from dataclasses import dataclass

from radishmount.publication import Collection, KeyRange, covers


__all__ = ["Coverage", "coverage_of"]


@dataclass(frozen=True, slots=True)
class Coverage:
    """The names of the requested parts that an answer covers completely, and of the others."""

    covered: tuple[str, ...]
    missing: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Return whether no part is missing."""
        return not self.missing

    @property
    def ratio(self) -> float:
        """Return the share of parts that are covered, from 0 to 1."""
        total = len(self.covered) + len(self.missing)
        return len(self.covered) / total if total else 1.0


def coverage_of(
    collection: Collection, requested: KeyRange, answered_ranges: Iterable[KeyRange]
) -> Coverage:
    """Return the coverage of the parts that overlap `requested`, given the ranges answered."""
    ranges = list(answered_ranges)
    covered: list[str] = []
    missing: list[str] = []
    for part in collection.parts:
        if not part.keys.overlaps(requested):
            continue
        (covered if covers(ranges, _intersection(part.keys, requested)) else missing).append(
            part.name
        )
    return Coverage(tuple(covered), tuple(missing))


def _intersection(first: KeyRange, second: KeyRange) -> KeyRange:
    highs = [high for high in (first.high, second.high) if high is not None]
    return KeyRange(max(first.low, second.low), min(highs) if highs else None)

"""Coverage: which parts of a collection an answer includes, told in key ranges."""

from collections.abc import Iterable
from dataclasses import dataclass

from radishmount.publication import Collection, KeyRange, covers


__all__ = ["Coverage", "coverage_of"]


@dataclass(frozen=True, slots=True)
class Coverage:
    """The names of the parts that an answer includes whole, and of those that it does not."""

    covered: tuple[str, ...]
    missing: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Tell whether no part is missing."""
        return not self.missing

    @property
    def ratio(self) -> float:
        """Return the share of parts that are covered, from 0 to 1."""
        total = len(self.covered) + len(self.missing)
        return len(self.covered) / total if total else 1.0


def coverage_of(collection: Collection, asked: KeyRange, answered: Iterable[KeyRange]) -> Coverage:
    """Return the coverage of the parts that `asked` touches, from the ranges that answered."""
    ranges = list(answered)
    covered: list[str] = []
    missing: list[str] = []
    for part in collection.parts:
        if not part.keys.overlaps(asked):
            continue
        (covered if covers(ranges, _common(part.keys, asked)) else missing).append(part.name)
    return Coverage(tuple(covered), tuple(missing))


def _common(one: KeyRange, other: KeyRange) -> KeyRange:
    highs = [high for high in (one.high, other.high) if high is not None]
    return KeyRange(max(one.low, other.low), min(highs) if highs else None)

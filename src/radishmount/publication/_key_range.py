"""Ranges of keys, which define shards and the parts of a collection."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass


__all__ = ["ALL_KEYS", "KeyRange", "covers"]


@dataclass(frozen=True, slots=True)
class KeyRange:
    """The keys from `low`, inclusive, to `high`, exclusive; without `high` there is no upper end.

    KeyRange("a", "c").contains("bamboo")  # True
    """

    low: str = ""
    high: str | None = None

    def contains(self, key: str) -> bool:
        """Return whether `key` lies in the range."""
        return self.low <= key and (self.high is None or key < self.high)

    def overlaps(self, other: "KeyRange") -> bool:
        """Return whether some key lies in both ranges."""
        starts_before_end = other.high is None or self.low < other.high
        return starts_before_end and (self.high is None or other.low < self.high)


ALL_KEYS = KeyRange()


def covers(ranges: Iterable[KeyRange], wanted: KeyRange) -> bool:
    """Return whether `ranges` together contain every key of `wanted`."""
    covered_to = wanted.low
    for key_range in _by_low(ranges):
        if key_range.low > covered_to:
            return False
        if key_range.high is None:
            return True
        covered_to = max(covered_to, key_range.high)
        if wanted.high is not None and covered_to >= wanted.high:
            return True
    return False


def _by_low(ranges: Iterable[KeyRange]) -> Sequence[KeyRange]:
    return sorted(ranges, key=lambda key_range: key_range.low)

"""Key ranges, the units in which shards and coverage are told."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass


__all__ = ["ALL_KEYS", "KeyRange", "covers"]


@dataclass(frozen=True, slots=True)
class KeyRange:
    """The keys from `low` up to, but without, `high`; no `high` means no upper end.

    KeyRange("a", "c").contains("bamboo")  # True
    """

    low: str = ""
    high: str | None = None

    def contains(self, key: str) -> bool:
        """Tell whether `key` lies in the range."""
        return self.low <= key and (self.high is None or key < self.high)

    def overlaps(self, other: "KeyRange") -> bool:
        """Tell whether some key lies in both ranges."""
        starts_before_end = other.high is None or self.low < other.high
        return starts_before_end and (self.high is None or other.low < self.high)


ALL_KEYS = KeyRange()


def covers(ranges: Iterable[KeyRange], wanted: KeyRange) -> bool:
    """Tell whether `ranges` together hold every key of `wanted`."""
    reached = wanted.low
    for piece in _by_low(ranges):
        if piece.low > reached:
            return False
        if piece.high is None:
            return True
        reached = max(reached, piece.high)
        if wanted.high is not None and reached >= wanted.high:
            return True
    return False


def _by_low(ranges: Iterable[KeyRange]) -> Sequence[KeyRange]:
    return sorted(ranges, key=lambda piece: piece.low)

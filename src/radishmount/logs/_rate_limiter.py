"""Limits how many lines of each kind are written per second."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field


__all__ = ["LineRateLimiter"]

WINDOW_MS = 1_000.0


@dataclass(slots=True)
class LineRateLimiter:
    """Allows a number of lines of each kind per second, and counts the lines it withholds.

    A kind without an entry has no limit.

        limiter = LineRateLimiter({"answered": 1})
        if limiter.try_acquire("answered", now_ms): ...
    """

    lines_per_s_by_kind: Mapping[str, int]
    window_began_ms: float = float("-inf")
    used_by_kind: Counter[str] = field(default_factory=Counter)
    withheld_by_kind: Counter[str] = field(default_factory=Counter)

    def try_acquire(self, kind: str, now_ms: float) -> bool:
        """Return whether one more line of a kind may be written, and count it."""
        if now_ms - self.window_began_ms >= WINDOW_MS:
            self.window_began_ms = now_ms
            self.used_by_kind.clear()
        limit = self.lines_per_s_by_kind.get(kind)
        if limit is not None and self.used_by_kind[kind] >= limit:
            self.withheld_by_kind[kind] += 1
            return False
        self.used_by_kind[kind] += 1
        return True

    def pop_withheld_counts(self) -> dict[str, int]:
        """Return how many lines of each kind were withheld since the last call."""
        withheld = dict(self.withheld_by_kind)
        self.withheld_by_kind.clear()
        return withheld

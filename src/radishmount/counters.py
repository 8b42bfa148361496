"""Counters of events, by name and label."""

from collections import defaultdict
from dataclasses import dataclass, field


__all__ = ["Counters"]


@dataclass(slots=True)
class Counters:
    """Counts events by name and label. The border exports the counts as metrics.

    counters.add("sub_requests", "hedge")
    """

    by_name: dict[tuple[str, str], float] = field(default_factory=lambda: defaultdict(float))

    def add(self, name: str, label: str = "", amount: float = 1.0) -> None:
        """Add `amount` to the counter `name` under `label`."""
        self.by_name[name, label] += amount

    def value(self, name: str, label: str = "") -> float:
        """Return the count of `name` under `label`, zero where nothing was counted."""
        return self.by_name.get((name, label), 0.0)

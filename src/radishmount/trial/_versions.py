"""How long entries take to put what is published in force, and whether one goes back."""

from collections.abc import Mapping
from dataclasses import dataclass, field


__all__ = ["EntrySight", "VersionWatch"]


@dataclass(frozen=True, slots=True)
class EntrySight:
    """One look at an entry. It is `reachable` when the platform or a peer can tell it more.

    An entry that has not `started` takes no requests; what it holds until then does not count.
    """

    version: int
    reachable: bool
    started: bool


@dataclass(slots=True)
class VersionWatch:
    """Looks at all entries in turn, and adds up how long each one that is reachable lags.

    watch.look(now_ms, published=7, sights_by_name={"entry-1": EntrySight(6, True, True)})
    """

    looked_at_ms: float | None = None
    published: int = 0
    lag_by_entry: dict[str, dict[int, float]] = field(default_factory=dict)
    highest_by_entry: dict[str, int] = field(default_factory=dict)
    worst_lag_ms: float = 0.0
    went_back: int = 0

    def look(self, now_ms: float, published: int, sights_by_name: Mapping[str, EntrySight]) -> None:
        """Take one look at every entry that runs."""
        passed_ms = 0.0 if self.looked_at_ms is None else now_ms - self.looked_at_ms
        self.looked_at_ms = now_ms
        for name in set(self.lag_by_entry) - set(sights_by_name):
            del self.lag_by_entry[name]
        for name, sight in sights_by_name.items():
            self._follow(name, sight, passed_ms, published)
            self._check_back(name, sight)
        self.published = published

    def _follow(self, name: str, sight: EntrySight, passed_ms: float, published: int) -> None:
        lags = self.lag_by_entry.setdefault(name, {})
        for version in [version for version in lags if version <= sight.version]:
            del lags[version]
        if not sight.reachable:
            return
        if published > sight.version:
            lags.setdefault(published, 0.0)
        for version in lags:
            lags[version] += passed_ms
            self.worst_lag_ms = max(self.worst_lag_ms, lags[version])

    def _check_back(self, name: str, sight: EntrySight) -> None:
        if not sight.started:
            return
        highest = self.highest_by_entry.get(name, 0)
        if sight.version < highest:
            self.went_back += 1
        self.highest_by_entry[name] = sight.version

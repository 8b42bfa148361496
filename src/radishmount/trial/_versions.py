"""Measures how long entries lag behind the published version, and whether one goes back."""

from collections.abc import Mapping
from dataclasses import dataclass, field


__all__ = ["EntryObservation", "VersionMonitor"]


@dataclass(frozen=True, slots=True)
class EntryObservation:
    """The state of an entry at one time.

    `version` is that of its active publication. `reachable` tells whether it can get the newest
    version, from the platform or a peer. An entry that has not `started` takes no requests, so the
    version that it has before then does not count as going back.
    """

    version: int
    reachable: bool
    started: bool


@dataclass(slots=True)
class VersionMonitor:
    """Sums up how long each entry lags behind each published version while it is reachable.

    `worst_lag_ms` is the longest lag. `regressions` counts how often an entry returned to an older
    version.

        monitor.observe(now_ms, published=7, observations_by_name={
            "entry-1": EntryObservation(6, reachable=True, started=True),
        })
    """

    observed_at_ms: float | None = None
    published: int = 0
    lag_by_entry: dict[str, dict[int, float]] = field(default_factory=dict)
    last_version_by_entry: dict[str, int] = field(default_factory=dict)
    worst_lag_ms: float = 0.0
    regressions: int = 0

    def observe(
        self, now_ms: float, published: int, observations_by_name: Mapping[str, EntryObservation]
    ) -> None:
        """Record the observations of all running entries, made at `now_ms`."""
        passed_ms = 0.0 if self.observed_at_ms is None else now_ms - self.observed_at_ms
        self.observed_at_ms = now_ms
        for name in set(self.lag_by_entry) - set(observations_by_name):
            del self.lag_by_entry[name]
        for name, observation in observations_by_name.items():
            self._update_lag(name, observation, passed_ms, published)
            self._check_regression(name, observation)
        self.published = published

    def _update_lag(
        self, name: str, observation: EntryObservation, passed_ms: float, published: int
    ) -> None:
        lags = self.lag_by_entry.setdefault(name, {})
        for version in [version for version in lags if version <= observation.version]:
            del lags[version]
        if not observation.reachable:
            return
        if published > observation.version:
            lags.setdefault(published, 0.0)
        for version in lags:
            lags[version] += passed_ms
            self.worst_lag_ms = max(self.worst_lag_ms, lags[version])

    def _check_regression(self, name: str, observation: EntryObservation) -> None:
        if not observation.started:
            return
        last_version = self.last_version_by_entry.get(name, 0)
        if observation.version < last_version:
            self.regressions += 1
        self.last_version_by_entry[name] = observation.version

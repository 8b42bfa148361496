"""Polls the active publication version of each entry while a trial runs."""

import asyncio

from radishmount.clock import Clock
from radishmount.programs._trial_entry import EntryThread
from radishmount.programs._trial_fleet import EntryFleet
from radishmount.trial import EntryObservation, VersionMonitor


__all__ = ["monitor_versions"]

OBSERVATION_INTERVAL_S = 0.05


async def monitor_versions(fleet: EntryFleet, monitor: VersionMonitor, clock: Clock) -> None:
    """Report the state of every entry to `monitor` at regular intervals, until cancelled."""
    while True:
        now_ms = clock.now_ms()
        observations = {
            name: EntryObservation(
                version=thread.active_version,
                reachable=_is_reachable(fleet, name, thread, now_ms),
                started=thread.has_started,
            )
            for name, thread in fleet.by_name.items()
        }
        monitor.observe(now_ms, fleet.simulated_region.publication_version, observations)
        await asyncio.sleep(OBSERVATION_INTERVAL_S)


def _is_reachable(fleet: EntryFleet, name: str, thread: EntryThread, now_ms: float) -> bool:
    """Return whether an entry can get the newest version, from the platform or from a peer."""
    if thread.is_paused(now_ms):
        return False
    same_side = [
        other
        for other in fleet.by_name
        if (other in fleet.links.partitioned) == (name in fleet.links.partitioned)
    ]
    views = fleet.simulated_region.views_of(same_side)
    return any(not view.stale and not view.platform.down for view in views)

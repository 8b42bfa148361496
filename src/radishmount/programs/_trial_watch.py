"""Looks at the entries while a trial runs: what they have in force."""

import asyncio

from radishmount.clock import Clock
from radishmount.programs._trial_entry import EntryThread
from radishmount.programs._trial_fleet import EntryFleet
from radishmount.trial import EntrySight, VersionWatch


__all__ = ["watch_versions"]

LOOK_INTERVAL_S = 0.05


async def watch_versions(fleet: EntryFleet, watch: VersionWatch, clock: Clock) -> None:
    """Look at every entry again and again, until the task is cancelled."""
    while True:
        now_ms = clock.now_ms()
        sights = {
            name: EntrySight(
                version=thread.version_in_force,
                reachable=_is_reachable(fleet, name, thread, now_ms),
                started=thread.has_started,
            )
            for name, thread in fleet.by_name.items()
        }
        watch.look(now_ms, fleet.stage.publication_version, sights)
        await asyncio.sleep(LOOK_INTERVAL_S)


def _is_reachable(fleet: EntryFleet, name: str, thread: EntryThread, now_ms: float) -> bool:
    """Tell whether the newest version can come to an entry, from the platform or by a peer."""
    if thread.is_paused(now_ms):
        return False
    same_side = [
        other
        for other in fleet.by_name
        if (other in fleet.links.parted) == (name in fleet.links.parted)
    ]
    views = fleet.stage.views_of(same_side)
    return any(not view.stale and not view.platform.down for view in views)

"""Chooses the watchers, so that reads of the platform do not grow with the fleet."""

from radishmount.fleet._fleet import Fleet
from radishmount.fleet._messages import MemberState


__all__ = ["WATCHERS_PER_DATA_CENTRE", "fallback_interval_ms", "is_watcher"]

WATCHERS_PER_DATA_CENTRE = 2
FALLBACK_INTERVAL_PER_INSTANCE_MS = 2_000.0
MIN_FALLBACK_INTERVAL_MS = 10_000.0


def is_watcher(fleet: Fleet) -> bool:
    """Return whether this instance is one of the watchers of its data centre.

    Watchers are chosen by rendezvous hashing. Suspected and leaving instances are skipped, so that
    others replace them within seconds. After a network partition, each side has its own watchers.
    """
    before_own = 0
    for name in fleet.ranked_for_watch():
        if name == fleet.own_name:
            return True
        before_own += _can_watch(fleet, name)
        if before_own == WATCHERS_PER_DATA_CENTRE:
            return False
    return True


def fallback_interval_ms(fleet: Fleet) -> float:
    """Return the interval at which an instance that is no watcher still reads the platform.

    It grows with the fleet, so that these reads add up to at most one in two seconds.
    """
    grown_ms = FALLBACK_INTERVAL_PER_INSTANCE_MS * len(fleet.listed_names)
    return max(MIN_FALLBACK_INTERVAL_MS, grown_ms)


def _can_watch(fleet: Fleet, name: str) -> bool:
    state = fleet.members.state_of(name)
    return state not in (MemberState.SUSPECTED, MemberState.LEAVING)

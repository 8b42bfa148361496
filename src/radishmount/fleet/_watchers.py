"""Which instances hold a watch at the platform, so that its reads do not grow with the fleet."""

from radishmount.fleet._fleet import Fleet
from radishmount.fleet._messages import MemberState
from radishmount.rendezvous import rank


__all__ = ["WATCHERS_PER_DATA_CENTRE", "fallback_interval_ms", "is_watcher"]

WATCHERS_PER_DATA_CENTRE = 2
FALLBACK_INTERVAL_PER_INSTANCE_MS = 2_000.0
MIN_FALLBACK_INTERVAL_MS = 10_000.0


def is_watcher(fleet: Fleet) -> bool:
    """Tell whether this instance is among the first of its data centre to watch the platform.

    Instances that are suspected or leave are passed over, so that their duty moves within
    seconds; a side of a split fleet that sees nobody else watches for itself.
    """
    names = [
        instance.name
        for instance in fleet.by_name.values()
        if instance.data_centre == fleet.own_data_centre and _serves(fleet, instance.name)
    ]
    if fleet.own_name not in names:
        names.append(fleet.own_name)
    return fleet.own_name in rank("platform watch", names)[:WATCHERS_PER_DATA_CENTRE]


def fallback_interval_ms(fleet: Fleet) -> float:
    """Return how often an instance that does not watch reads the platform all the same.

    It grows with the fleet, so that these reads together stay at one in two seconds.
    """
    grown_ms = FALLBACK_INTERVAL_PER_INSTANCE_MS * len(fleet.listed_names)
    return max(MIN_FALLBACK_INTERVAL_MS, grown_ms)


def _serves(fleet: Fleet, name: str) -> bool:
    state = fleet.members.state_of(name)
    return state not in (MemberState.SUSPECTED, MemberState.LEAVING)

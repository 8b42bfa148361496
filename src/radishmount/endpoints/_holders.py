"""The division of an endpoint's connection cap among the instances that may connect to it."""

from collections.abc import Sequence

from radishmount.rendezvous import rank


__all__ = ["connections_of_holder", "holders_of"]

CONNECTIONS_PER_HOLDER = 2
JOINING_INSTANCES = 1


def holders_of(endpoint: str, instances: Sequence[str], cap: int) -> list[str]:
    """Return the instances that may connect to `endpoint`, of all that are listed."""
    count = max(1, cap // CONNECTIONS_PER_HOLDER - JOINING_INSTANCES)
    return rank(endpoint, instances)[:count]


def connections_of_holder(endpoint: str, instance: str, instances: Sequence[str], cap: int) -> int:
    """Return how many connections `instance` may hold to `endpoint`, zero if it is no holder.

    The shares of all holders together never pass `cap`, whichever of them are reachable. Room is
    left for one instance more, which knows that it joined before the others' lists say so.
    """
    holders = holders_of(endpoint, instances, cap)
    if instance not in holders:
        return 0
    return max(1, cap // (len(holders) + JOINING_INSTANCES))

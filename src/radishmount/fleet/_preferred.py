"""The instances that callers are sent to, and how budgets are divided over the fleet."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from itertools import zip_longest

from radishmount.fleet._fleet import Fleet
from radishmount.fleet._instance import Instance
from radishmount.rendezvous import rank


__all__ = [
    "FleetShares",
    "choose_beside_replicas",
    "choose_preferred",
    "fleet_shares",
    "preferred_names",
]

MIN_PREFERRED = 2  # if one is lost, its callers still have another
FAST_CAPACITY_RATIO = 0.5  # of the highest capacity; slower ones answer the same requests too late
PREFERRED_PART = 0.5  # the rest is for all instances, as any of them may become preferred


@dataclass(frozen=True, slots=True)
class FleetShares:
    """The numbers of all and of preferred instances, and whether this one is preferred."""

    instance_count: int = 1
    preferred_count: int = 1
    is_preferred: bool = True

    def of(self, total: float) -> float:
        """Return this instance's share of `total`; the shares of all add up to at most `total`."""
        share = (1.0 - PREFERRED_PART) * total / self.instance_count
        if self.is_preferred:
            share += PREFERRED_PART * total / self.preferred_count
        return share


def choose_preferred(fleet: Fleet, data_centre: str, limit: int) -> tuple[Instance, ...]:
    """Return at most `limit` instances for a caller that picks any of them.

    These are the fast instances of its data centre: on a slow one, a fan-out to many endpoints uses
    up part of the request's deadline. Sending callers to few instances also keeps their connections
    to endpoints warm. If fewer than `MIN_PREFERRED` are fast, the next fastest of the data centre
    are added, then the fastest of other data centres. Suspected and overloaded instances are used
    only if no others are known.
    """
    return tuple(_choose(_usable_instances(fleet), data_centre)[:limit])


def choose_beside_replicas(
    fleet: Fleet, replica_data_centres: Collection[str], data_centre: str, limit: int
) -> tuple[Instance, ...]:
    """Return at most `limit` instances of `replica_data_centres` for a caller in `data_centre`.

    They are the fast instances of each, in turn, so that a caller that picks any of them uses all
    data centres, also where there are more than `limit`. All of them are preferred for the callers
    of their own data centre as well. Where fewer than `MIN_PREFERRED` are usable, those that are
    preferred for `data_centre` follow.
    """
    usable = _usable_instances(fleet)
    groups = [
        _fast_instances([instance for instance in usable if instance.data_centre == name])
        for name in sorted(replica_data_centres)
    ]
    if sum(len(group) for group in groups) > limit:
        groups = [_sort_by_capacity(group, data_centre) for group in groups]
    chosen = [
        instance for turn in zip_longest(*groups) for instance in turn if instance is not None
    ]
    if len(chosen) < MIN_PREFERRED:
        chosen += [i for i in _choose(usable, data_centre) if i not in chosen]
    return tuple(chosen[:limit])


def preferred_names(fleet: Fleet) -> frozenset[str]:
    """Return the names of all instances that callers in any data centre are sent to."""
    usable = _usable_instances(fleet)
    data_centres = {instance.data_centre for instance in fleet.by_name.values()}
    return frozenset(
        instance.name for data_centre in data_centres for instance in _choose(usable, data_centre)
    )


def fleet_shares(fleet: Fleet, preferred: frozenset[str]) -> FleetShares:
    """Return how budgets are divided over the listed instances."""
    return FleetShares(
        instance_count=len(fleet.listed_names),
        preferred_count=max(1, len(preferred)),
        is_preferred=fleet.own_name in preferred,
    )


def _usable_instances(fleet: Fleet) -> list[Instance]:
    """Return the healthy instances, or all that accept work if none is healthy."""
    accepting = [instance for name, instance in fleet.by_name.items() if fleet.accepts_work(name)]
    return [instance for instance in accepting if fleet.is_healthy(instance.name)] or accepting


def _choose(usable: list[Instance], data_centre: str) -> list[Instance]:
    own = [instance for instance in usable if instance.data_centre == data_centre]
    chosen = _fast_instances(own)
    if len(chosen) >= MIN_PREFERRED:
        return chosen  # ranking the others takes milliseconds in a large fleet
    others = [instance for instance in usable if instance.data_centre != data_centre]
    for candidates in (own, others):
        for instance in _sort_by_capacity(candidates, data_centre):
            if len(chosen) < MIN_PREFERRED and instance not in chosen:
                chosen.append(instance)
    return chosen


def _fast_instances(instances: list[Instance]) -> list[Instance]:
    most = max((instance.capacity for instance in instances), default=0.0)
    return [instance for instance in instances if instance.capacity >= FAST_CAPACITY_RATIO * most]


def _sort_by_capacity(instances: Iterable[Instance], data_centre: str) -> list[Instance]:
    """Sort by capacity, highest first; ties have the same order at every instance."""
    by_name = {instance.name: instance for instance in instances}
    ranked = [by_name[name] for name in rank(data_centre, by_name)]
    return sorted(ranked, key=lambda instance: -instance.capacity)

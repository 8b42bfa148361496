"""Which instances carry the callers' requests, and how what is shared is divided among them."""

from collections.abc import Iterable
from dataclasses import dataclass

from radishmount.fleet._fleet import Fleet
from radishmount.fleet._instance import Instance
from radishmount.rendezvous import rank


__all__ = ["FleetShares", "preferred_names", "choose_preferred", "fleet_shares"]

LEAST_NEAREST = 2  # one may be lost, and its callers still have another
QUICK_SHARE = 0.5  # of the quickest one's capacity; a slower one would be late with the same work
CARRIERS_PART = 0.5  # of what is shared; the rest is for all, as any instance may become a carrier


@dataclass(frozen=True, slots=True)
class FleetShares:
    """How many instances there are, how many of them carry requests, and whether this one does."""

    instance_count: int = 1
    preferred_count: int = 1
    is_preferred: bool = True

    def of(self, total: float) -> float:
        """Return this instance's share of `total`, which all of them together never pass."""
        share = (1.0 - CARRIERS_PART) * total / self.instance_count
        if self.is_preferred:
            share += CARRIERS_PART * total / self.preferred_count
        return share


def choose_preferred(fleet: Fleet, data_centre: str, limit: int) -> tuple[Instance, ...]:
    """Return the instances for a caller that picks any of them: the quick ones of its data centre.

    A request to many endpoints takes a slow instance a part of the time in which its answer is due,
    and few instances that are busy keep their connections warm. Where the quick ones are too few
    to lose one, the next quickest fill up, then those of other data centres. Suspected and
    overloaded ones come only where nobody else is known.
    """
    taking = [fleet.by_name[name] for name in fleet.by_name if fleet.accepts_work(name)]
    fit = [instance for instance in taking if fleet.is_healthy(instance.name)] or taking
    own = [instance for instance in fit if instance.data_centre == data_centre]
    others = [instance for instance in fit if instance.data_centre != data_centre]
    chosen = _quick_ones(own)
    for candidates in (own, others):
        for instance in _quickest_first(candidates, data_centre):
            if len(chosen) < LEAST_NEAREST and instance not in chosen:
                chosen.append(instance)
    return tuple(chosen[:limit])


def preferred_names(fleet: Fleet) -> frozenset[str]:
    """Return the names of the instances that callers of any data centre are sent to."""
    names: set[str] = set()
    for data_centre in {instance.data_centre for instance in fleet.by_name.values()}:
        nearest = choose_preferred(fleet, data_centre, len(fleet.by_name))
        names.update(instance.name for instance in nearest)
    return frozenset(names)


def fleet_shares(fleet: Fleet, carriers: frozenset[str]) -> FleetShares:
    """Return how what all instances share is divided, over those that are listed."""
    return FleetShares(
        instance_count=len(fleet.listed_names),
        preferred_count=max(1, len(carriers)),
        is_preferred=fleet.own_name in carriers,
    )


def _quick_ones(instances: list[Instance]) -> list[Instance]:
    most = max((instance.capacity for instance in instances), default=0.0)
    return [instance for instance in instances if instance.capacity >= QUICK_SHARE * most]


def _quickest_first(instances: Iterable[Instance], data_centre: str) -> list[Instance]:
    """Return the quickest first; among equals the order is the same for all who ask."""
    by_name = {instance.name: instance for instance in instances}
    ranked = [by_name[name] for name in rank(data_centre, by_name)]
    return sorted(ranked, key=lambda instance: -instance.capacity)

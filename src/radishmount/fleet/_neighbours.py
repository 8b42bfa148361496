"""Chooses an instance's neighbours: a bounded number, however large the fleet is."""

from collections.abc import Iterable, Sequence

from radishmount.fleet._instance import Instance
from radishmount.rendezvous import weight


__all__ = ["NEIGHBOUR_LIMIT", "neighbours_of"]

NEIGHBOUR_LIMIT = 8
FLEET_RINGS = ("fleet ring 1", "fleet ring 2")
DATA_CENTRE_RINGS = ("data centre ring 1", "data centre ring 2")


def neighbours_of(own_name: str, own_data_centre: str, instances: Iterable[Instance]) -> list[str]:
    """Return the names of the neighbours of `own_name` among the listed `instances`.

    A fleet of at most `NEIGHBOUR_LIMIT` + 1 instances is a full mesh. In a larger one, each
    instance is on four rings, each sorted by its own hash: two of the whole fleet and two of its
    data centre. Its neighbours are the previous and the next instance on each ring. The relation is
    symmetric, a fleet of 500 has a diameter of about four hops, and a data centre that is cut off
    stays connected within itself.
    """
    listed = list(instances)
    names = {instance.name for instance in listed} | {own_name}
    if len(names) <= NEIGHBOUR_LIMIT + 1:
        return sorted(names - {own_name})
    nearby = {i.name for i in listed if i.data_centre == own_data_centre} | {own_name}
    chosen: set[str] = set()
    for ring in FLEET_RINGS:
        chosen.update(_next_to(own_name, ring, names))
    for ring in DATA_CENTRE_RINGS:
        chosen.update(_next_to(own_name, f"{ring} {own_data_centre}", nearby))
    return sorted(chosen - {own_name})


def _next_to(own_name: str, ring: str, names: Iterable[str]) -> Sequence[str]:
    order = sorted(names, key=lambda name: (weight(ring, name), name))
    place = order.index(own_name)
    return order[place - 1], order[(place + 1) % len(order)]

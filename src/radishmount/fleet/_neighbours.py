"""The instances with which one keeps a stream: a bounded number, whatever the fleet's size."""

from collections.abc import Iterable, Sequence

from radishmount.fleet._instance import Instance
from radishmount.rendezvous import weight


__all__ = ["NEIGHBOUR_LIMIT", "neighbours_of"]

NEIGHBOUR_LIMIT = 8
FLEET_RINGS = ("fleet ring 1", "fleet ring 2")
DATA_CENTRE_RINGS = ("data centre ring 1", "data centre ring 2")


def neighbours_of(own_name: str, own_data_centre: str, instances: Iterable[Instance]) -> list[str]:
    """Return the names of the neighbours of `own_name` among the listed `instances`.

    A small fleet is a full mesh. A larger one stands on four rings, each in an order of its own,
    two of all instances and two of each data centre; neighbours are the two next to one on each
    ring. Neighbours are so for both ends, a fleet of 500 is about four steps wide, and a data
    centre that is cut off stays connected in itself.
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

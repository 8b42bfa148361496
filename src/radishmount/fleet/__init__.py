"""The instances of the fleet, and the addresses that callers are given."""

from radishmount.fleet._addresses import AddressAnswer, choose_addresses
from radishmount.fleet._fleet import Fleet, InstanceList
from radishmount.fleet._instance import Instance, InstanceState
from radishmount.fleet._watch import InstanceListSource, ListWatch, watch_instances


__all__ = [
    "AddressAnswer",
    "Fleet",
    "Instance",
    "InstanceList",
    "InstanceState",
    "InstanceListSource",
    "ListWatch",
    "choose_addresses",
    "watch_instances",
]

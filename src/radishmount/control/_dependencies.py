"""The dependencies of a control plane."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.fleet import InstanceListSource, MemberTable, OpenPeer
from radishmount.publication import ConfigurationSource, ReadBundle


__all__ = ["ControlPlaneDependencies", "OpenPeerFor", "Platform"]

OpenPeerFor = Callable[[MemberTable, Counters], OpenPeer]


class Platform(ConfigurationSource, InstanceListSource, Protocol):
    """The platform, a read-only source of bundles and instance lists."""

    async def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, slots=True)
class ControlPlaneDependencies:
    """What the instance passes to its control plane.

    `seeds` are peer addresses to connect to while the platform gives no instance list.
    """

    name: str
    data_centre: str
    clock: Clock
    random: Random
    platform: Platform
    read_bundle: ReadBundle
    open_peer_for: OpenPeerFor
    seeds: tuple[str, ...] = ()

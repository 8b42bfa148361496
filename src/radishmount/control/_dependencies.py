"""What the control of an instance is handed from outside."""

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
    """The platform, which can only be read and watched."""

    async def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, slots=True)
class ControlPlaneDependencies:
    """What the control of an instance is handed from outside.

    `seeds` are peer addresses to ask while no instance list is known.
    """

    name: str
    data_centre: str
    clock: Clock
    random: Random
    platform: Platform
    read_bundle: ReadBundle
    open_peer_for: OpenPeerFor
    seeds: tuple[str, ...] = ()

"""One entry instance, as the instance list and its peers tell of it."""

from dataclasses import dataclass
from enum import StrEnum


__all__ = ["Instance", "InstanceState"]


class InstanceState(StrEnum):
    """Whether an instance takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """An entry instance of the list. Addresses are an IP number and a port.

    `capacity` is its processor's speed, compared with a whole core.
    """

    name: str
    data_centre: str
    caller_address: str
    peer_address: str
    state: InstanceState = InstanceState.LIVE
    capacity: float = 1.0

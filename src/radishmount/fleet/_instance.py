"""One entry instance, as the instance list or its peers describe it."""

from dataclasses import dataclass
from enum import StrEnum


__all__ = ["Instance", "InstanceState"]


class InstanceState(StrEnum):
    """Whether an instance takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """A listed entry instance. Addresses have the form `IP:port`.

    `capacity` is its CPU speed relative to one whole core.
    """

    name: str
    data_centre: str
    caller_address: str
    peer_address: str
    state: InstanceState = InstanceState.LIVE
    capacity: float = 1.0

"""The interface to the store that holds the configuration and the endpoints."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from result import Result

from radishmount.codes import Refusal
from radishmount.discovery._listed_endpoint import ListedEndpoint
from radishmount.discovery._position import StorePosition


__all__ = [
    "ConfigurationEntry",
    "EndpointEntry",
    "EndpointRemoval",
    "EvacuationEntry",
    "Store",
    "StoreAnswer",
    "StoreEntry",
    "StoreFailure",
    "StoreFailureKind",
]


@dataclass(frozen=True, slots=True)
class ConfigurationEntry:
    """The newest configuration, as the operator wrote it."""

    body: bytes


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """The entry of an endpoint; `endpoint` is none if the entry is invalid, for the `fault`."""

    name: str
    endpoint: ListedEndpoint | None
    fault: str = ""


@dataclass(frozen=True, slots=True)
class EndpointRemoval:
    """The removal of an endpoint's entry."""

    name: str


@dataclass(frozen=True, slots=True)
class EvacuationEntry:
    """The operator's request to send nothing to a data centre, or the end of that request."""

    data_centre: str
    is_requested: bool


StoreEntry = ConfigurationEntry | EndpointEntry | EndpointRemoval | EvacuationEntry


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Entries in the order of their changes, and the store's position, from which to watch on.

    `last_change` is the revision of the newest entry, zero if there is none. The store's revision
    also grows with changes of other keys, which instances do not read.
    """

    entries: tuple[StoreEntry, ...]
    position: StorePosition
    last_change: int = 0


class StoreFailureKind(Enum):
    """Why a call to the store failed.

    `COMPACTED`: the changes since the requested revision are no longer kept. `RESTORED`: the store
    has come back from an older copy, so it knows nothing of that revision. `OUTDATED`: the answer
    is from before what is known.
    """

    COMPACTED = auto()
    RESTORED = auto()
    OUTDATED = auto()
    UNAVAILABLE = auto()


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A failed call to the store; `refusal` has the details for the log."""

    kind: StoreFailureKind
    refusal: Refusal


class Store(Protocol):
    """The store at an address. Instances only read and watch it."""

    address: str

    async def read_all(self) -> Result[StoreAnswer, StoreFailure]:
        """Return every entry. The position is the one before the first page was read."""

    async def watch(self, after: StorePosition, wait_ms: int) -> Result[StoreAnswer, StoreFailure]:
        """Return the changes after a revision, waiting up to `wait_ms` for the first.

        The answer may be of a later era than `after`, and then tells nothing of what was lost.
        """

    async def close(self) -> None:
        """Close the connections."""

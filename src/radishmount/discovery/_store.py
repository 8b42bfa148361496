"""The interface to the store that configuration and endpoints are published in."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from result import Result

from radishmount.codes import Refusal
from radishmount.discovery._listed_endpoint import ListedEndpoint


__all__ = [
    "ConfigurationEntry",
    "EndpointEntry",
    "EndpointRemoval",
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
    """What was written under the name of an endpoint; `endpoint` is none where it is invalid."""

    name: str
    endpoint: ListedEndpoint | None


@dataclass(frozen=True, slots=True)
class EndpointRemoval:
    """The end of the entry of an endpoint."""

    name: str


StoreEntry = ConfigurationEntry | EndpointEntry | EndpointRemoval


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Entries in their order, and the revision of the store after which to go on.

    `last_change` is the revision of the newest entry, zero without any. The revision of the store
    also grows where nothing changes that instances read.
    """

    entries: tuple[StoreEntry, ...]
    revision: int
    last_change: int = 0


class StoreFailureKind(Enum):
    """Why a call of the store brought nothing."""

    COMPACTED = auto()
    UNAVAILABLE = auto()


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A call that brought nothing; `refusal` says why, for the log."""

    kind: StoreFailureKind
    refusal: Refusal


class Store(Protocol):
    """The store, which can only be read and watched."""

    async def read_all(self) -> Result[StoreAnswer, StoreFailure]:
        """Return every entry. The revision is that before the first page was read."""

    async def watch(self, after: int, wait_ms: int) -> Result[StoreAnswer, StoreFailure]:
        """Return what changed after a revision, as soon as there is anything."""

    async def close(self) -> None:
        """Close the connections."""

"""What instances say to each other of listed endpoints."""

from dataclasses import dataclass

from radishmount.discovery._listed_endpoint import ListedEndpoint


__all__ = ["EndpointPage", "EndpointPageRequest", "StoreNews"]


@dataclass(frozen=True, slots=True)
class StoreNews:
    """What changed in the store after the revision `after`, up to `revision`.

    `missing` names endpoints whose entries are gone and may only have lapsed in an outage.
    """

    after: int
    revision: int
    endpoints: tuple[ListedEndpoint, ...] = ()
    removed: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointPageRequest:
    """Asks for the endpoints whose names come after `after`."""

    after: str


@dataclass(frozen=True, slots=True)
class EndpointPage:
    """Some of the endpoints that the sender holds, by name, at a revision of the store.

    `missing` names those whose entries may only have lapsed in an outage.
    """

    revision: int
    endpoints: tuple[ListedEndpoint, ...]
    has_more: bool
    missing: tuple[str, ...] = ()

"""Discovery: the endpoints that register themselves in a store, which instances watch."""

from radishmount.discovery._endpoint_list import EndpointList
from radishmount.discovery._follower import StoreFollower
from radishmount.discovery._gossip import EndpointGossip
from radishmount.discovery._listed_endpoint import ListedEndpoint
from radishmount.discovery._messages import (
    EndpointPage,
    EndpointPageRequest,
    StoreEra,
    StoreNews,
    ViewCheckRequest,
)
from radishmount.discovery._position import ERAS_PER_HISTORY, NO_POSITION, StorePosition
from radishmount.discovery._store import (
    ConfigurationEntry,
    EndpointEntry,
    EndpointRemoval,
    EvacuationEntry,
    Store,
    StoreAnswer,
    StoreEntry,
    StoreFailure,
    StoreFailureKind,
)


__all__ = [
    "ConfigurationEntry",
    "ERAS_PER_HISTORY",
    "EndpointEntry",
    "EndpointList",
    "EndpointPage",
    "EndpointPageRequest",
    "EndpointGossip",
    "ListedEndpoint",
    "EndpointRemoval",
    "EvacuationEntry",
    "NO_POSITION",
    "Store",
    "StoreAnswer",
    "StoreEntry",
    "StoreEra",
    "StoreFailure",
    "StoreFailureKind",
    "StoreFollower",
    "StoreNews",
    "StorePosition",
    "ViewCheckRequest",
]

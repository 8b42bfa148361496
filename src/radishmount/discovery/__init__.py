"""Discovery: the endpoints that register themselves in a store, and the following of the store."""

from radishmount.discovery._endpoint_list import EndpointList
from radishmount.discovery._follower import StoreFollower
from radishmount.discovery._listed import ListedEndpoint
from radishmount.discovery._messages import EndpointPage, EndpointPageRequest, StoreNews
from radishmount.discovery._spread import EndpointSpread
from radishmount.discovery._store import (
    ConfigurationEntry,
    EndpointEntry,
    Removal,
    Store,
    StoreAnswer,
    StoreEntry,
    StoreFailure,
    StoreFault,
)


__all__ = [
    "ConfigurationEntry",
    "EndpointEntry",
    "EndpointList",
    "EndpointPage",
    "EndpointPageRequest",
    "EndpointSpread",
    "ListedEndpoint",
    "Removal",
    "Store",
    "StoreAnswer",
    "StoreEntry",
    "StoreFailure",
    "StoreFault",
    "StoreFollower",
    "StoreNews",
]

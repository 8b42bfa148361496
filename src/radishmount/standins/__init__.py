"""Small stand-ins of the platform and of endpoints, for tests and trials."""

from radishmount.standins._endpoint import EndpointBehaviour, EndpointRecord, EndpointStandIn
from radishmount.standins._orders import (
    OrderBehaviour,
    OrderRecord,
    OrderStandIn,
    runs_by_request_id,
)
from radishmount.standins._platform import ListedInstance, PlatformStandIn
from radishmount.standins._serve import serve_stand_in


__all__ = [
    "EndpointBehaviour",
    "EndpointRecord",
    "EndpointStandIn",
    "ListedInstance",
    "OrderBehaviour",
    "OrderRecord",
    "OrderStandIn",
    "PlatformStandIn",
    "runs_by_request_id",
    "serve_stand_in",
]

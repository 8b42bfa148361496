"""Endpoints: their health, load balancing among them, and the connections to them."""

from radishmount.endpoints._any_attempt import AnyAttempt
from radishmount.endpoints._attempt import Attempt, Purpose
from radishmount.endpoints._choice import (
    ChooseEndpoint,
    expected_completion_ms,
    make_least_time_choice,
    make_weighted_choice,
    slow_start_weight,
)
from radishmount.endpoints._cold_rate import ColdRateSettings, KnownInstances
from radishmount.endpoints._connection_pool import ConnectionPool
from radishmount.endpoints._ejection import Ejection, max_ejected
from radishmount.endpoints._endpoint import HEALTH_MAX_AGE_MS, Endpoint
from radishmount.endpoints._exchange import (
    Channel,
    Failure,
    LoadReport,
    OpenChannel,
    Row,
    SearchTerms,
    SubReply,
    SubRequest,
    SubRequestOutcome,
)
from radishmount.endpoints._forward_exchange import (
    ForwardCall,
    ForwardReply,
    ForwardRequest,
    HeaderPairs,
)
from radishmount.endpoints._latency import LatencyEstimate, decay_weight
from radishmount.endpoints._limit import InFlightLimit
from radishmount.endpoints._mailbox import Mailbox
from radishmount.endpoints._order_exchange import (
    OrderAttemptOutcome,
    OrderReply,
    OrderRequest,
    SendGate,
)
from radishmount.endpoints._pool import EndpointPool
from radishmount.endpoints._slow_endpoints import find_slow_endpoints
from radishmount.endpoints._subsets import InstanceSubsets, connection_share
from radishmount.endpoints._success_rate import SuccessRate


__all__ = [
    "KnownInstances",
    "ColdRateSettings",
    "HEALTH_MAX_AGE_MS",
    "Attempt",
    "AnyAttempt",
    "Channel",
    "ChooseEndpoint",
    "Ejection",
    "Endpoint",
    "EndpointPool",
    "Failure",
    "ForwardCall",
    "ForwardReply",
    "ForwardRequest",
    "HeaderPairs",
    "InstanceSubsets",
    "InFlightLimit",
    "LatencyEstimate",
    "ConnectionPool",
    "Mailbox",
    "LoadReport",
    "OpenChannel",
    "OrderAttemptOutcome",
    "OrderReply",
    "OrderRequest",
    "SubRequestOutcome",
    "Purpose",
    "SuccessRate",
    "Row",
    "SearchTerms",
    "SendGate",
    "SubReply",
    "SubRequest",
    "max_ejected",
    "expected_completion_ms",
    "decay_weight",
    "make_least_time_choice",
    "make_weighted_choice",
    "slow_start_weight",
    "connection_share",
    "find_slow_endpoints",
]

"""Endpoints: the evidence of each, the choice among them, and the connections to them."""

from radishmount.endpoints._attempt import Attempt, Purpose
from radishmount.endpoints._carried import Carried
from radishmount.endpoints._choice import (
    Choose,
    expected_ms,
    make_choice,
    make_weighted_choice,
    ramp_weight,
)
from radishmount.endpoints._ejection import Ejection, ejectable
from radishmount.endpoints._endpoint import EVIDENCE_MAX_AGE_MS, Endpoint
from radishmount.endpoints._exchange import (
    Channel,
    Failure,
    LoadReport,
    OpenChannel,
    Outcome,
    Row,
    SearchTerms,
    SubReply,
    SubRequest,
)
from radishmount.endpoints._forward_exchange import (
    ForwardCall,
    ForwardReply,
    ForwardRequest,
    HeaderPairs,
)
from radishmount.endpoints._holders import HolderBook, share_of_holder
from radishmount.endpoints._latency import LatencyEstimate, faded
from radishmount.endpoints._limit import InFlightLimit
from radishmount.endpoints._link import Link
from radishmount.endpoints._mailbox import Mailbox
from radishmount.endpoints._order_exchange import (
    OrderExchange,
    OrderReply,
    OrderRequest,
    SendGate,
)
from radishmount.endpoints._pace import slow_paces
from radishmount.endpoints._pool import EndpointPool
from radishmount.endpoints._reliability import Reliability


__all__ = [
    "EVIDENCE_MAX_AGE_MS",
    "Attempt",
    "Carried",
    "Channel",
    "Choose",
    "Ejection",
    "Endpoint",
    "EndpointPool",
    "Failure",
    "ForwardCall",
    "ForwardReply",
    "ForwardRequest",
    "HeaderPairs",
    "HolderBook",
    "InFlightLimit",
    "LatencyEstimate",
    "Link",
    "Mailbox",
    "LoadReport",
    "OpenChannel",
    "OrderExchange",
    "OrderReply",
    "OrderRequest",
    "Outcome",
    "Purpose",
    "Reliability",
    "Row",
    "SearchTerms",
    "SendGate",
    "SubReply",
    "SubRequest",
    "ejectable",
    "expected_ms",
    "faded",
    "make_choice",
    "make_weighted_choice",
    "ramp_weight",
    "share_of_holder",
    "slow_paces",
]

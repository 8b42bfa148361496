"""Endpoints: the evidence of each, the choice among them, and the connections to them."""

from radishmount.endpoints._carried import Carried
from radishmount.endpoints._choice import Choose, expected_ms, make_choice
from radishmount.endpoints._endpoint import Endpoint
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
from radishmount.endpoints._holders import connections_of_holder, holders_of
from radishmount.endpoints._link import Attempt, Link
from radishmount.endpoints._order_exchange import (
    OrderExchange,
    OrderReply,
    OrderRequest,
    SendGate,
)
from radishmount.endpoints._pool import EndpointPool


__all__ = [
    "Attempt",
    "Carried",
    "Channel",
    "Choose",
    "Endpoint",
    "EndpointPool",
    "Failure",
    "Link",
    "LoadReport",
    "OpenChannel",
    "OrderExchange",
    "OrderReply",
    "OrderRequest",
    "Outcome",
    "Row",
    "SearchTerms",
    "SendGate",
    "SubReply",
    "SubRequest",
    "connections_of_holder",
    "expected_ms",
    "holders_of",
    "make_choice",
]

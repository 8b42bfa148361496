"""Orders: non-idempotent requests that run at most once and whose outcomes are recorded."""

from radishmount.orders._context import OrderContext
from radishmount.orders._factory import OrderDependencies, make_order_handler, new_order_incarnation
from radishmount.orders._handler import OrderHandler
from radishmount.orders._keyed_orders import RequestAgreement
from radishmount.orders._limits import OrderLimits
from radishmount.orders._messages import (
    KeyAgreement,
    KeyClaim,
    OrderAction,
    OrderQuestion,
    OrderReport,
)
from radishmount.orders._order import Order, OrderAnswer, OrderCall, OrderOutcome
from radishmount.orders._runner import Admit, FindRule
from radishmount.orders._ticket import Ticket, decode_ticket, encode_ticket
from radishmount.orders._ticketed_orders import Forward


__all__ = [
    "Admit",
    "RequestAgreement",
    "FindRule",
    "Forward",
    "KeyAgreement",
    "KeyClaim",
    "Order",
    "OrderAnswer",
    "OrderCall",
    "OrderHandler",
    "OrderLimits",
    "OrderOutcome",
    "OrderDependencies",
    "OrderQuestion",
    "OrderReport",
    "OrderContext",
    "Ticket",
    "OrderAction",
    "make_order_handler",
    "new_order_incarnation",
    "decode_ticket",
    "encode_ticket",
]

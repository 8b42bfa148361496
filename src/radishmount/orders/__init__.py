"""Orders: non-idempotent requests, at most once, with recorded outcomes."""

from radishmount.orders._desk import OrderDesk
from radishmount.orders._keys import AskAgreement
from radishmount.orders._limits import OrderLimits
from radishmount.orders._make import OrderParts, make_order_desk, new_start_number
from radishmount.orders._messages import (
    KeyAgreement,
    KeyClaim,
    OrderQuestion,
    OrderReport,
    Wish,
)
from radishmount.orders._order import Order, OrderAnswer, OrderCall, OrderOutcome
from radishmount.orders._runner import Admit, Bind
from radishmount.orders._ticket import Ticket, open_ticket, seal_ticket
from radishmount.orders._tickets import Forward
from radishmount.orders._tools import OrderTools


__all__ = [
    "Admit",
    "AskAgreement",
    "Bind",
    "Forward",
    "KeyAgreement",
    "KeyClaim",
    "Order",
    "OrderAnswer",
    "OrderCall",
    "OrderDesk",
    "OrderLimits",
    "OrderOutcome",
    "OrderParts",
    "OrderQuestion",
    "OrderReport",
    "OrderTools",
    "Ticket",
    "Wish",
    "make_order_desk",
    "new_start_number",
    "open_ticket",
    "seal_ticket",
]

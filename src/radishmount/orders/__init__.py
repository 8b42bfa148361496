"""Orders: non-idempotent requests, at most once, with recorded outcomes."""

from radishmount.orders._desk import OrderDesk
from radishmount.orders._keys import AskAgreement
from radishmount.orders._make import OrderParts, make_order_desk, new_start_number
from radishmount.orders._messages import (
    KeyAgreement,
    KeyClaim,
    OrderQuestion,
    OrderReport,
    Wish,
)
from radishmount.orders._order import Order, OrderAnswer, OrderCall, OrderOutcome
from radishmount.orders._ownership import KEY_LIFETIME_MS
from radishmount.orders._runner import Admit, Bind
from radishmount.orders._ticket import Ticket, open_ticket, seal_ticket
from radishmount.orders._tickets import KEPT_AFTER_EXPIRY_MS, TICKET_VALID_FOR_MS, Forward
from radishmount.orders._tools import OrderTools


__all__ = [
    "KEPT_AFTER_EXPIRY_MS",
    "KEY_LIFETIME_MS",
    "TICKET_VALID_FOR_MS",
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

"""Orders: non-idempotent requests, at most once, with recorded outcomes."""

from radishmount.orders._order import Order, OrderOutcome, Ticket


__all__ = ["Order", "OrderOutcome", "Ticket"]

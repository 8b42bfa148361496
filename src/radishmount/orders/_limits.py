"""Limits on how many outcomes of orders are kept, and for how long."""

from dataclasses import dataclass


__all__ = ["OrderLimits"]


@dataclass(frozen=True, slots=True)
class OrderLimits:
    """Limits of one instance. Times are in milliseconds.

    A ticket expires `ticket_valid_for_ms` after it was issued; an order must be placed before. Its
    outcome is kept for another `outcome_kept_after_expiry_ms`. The outcome under a key is kept
    until `key_lifetime_ms` after the deadline of the order. `max_total_result_chars` limits the
    results of all records together.
    """

    ticket_valid_for_ms: float = 600_000.0
    outcome_kept_after_expiry_ms: float = 600_000.0
    key_lifetime_ms: float = 600_000.0
    max_records: int = 10_000
    max_total_result_chars: int = 16_000_000

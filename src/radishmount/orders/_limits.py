"""How long and how much of orders is kept."""

from dataclasses import dataclass


__all__ = ["OrderLimits"]


@dataclass(frozen=True, slots=True)
class OrderLimits:
    """The bounds of what one instance keeps. Times are in milliseconds.

    An order may begin under a ticket for `ticket_valid_for_ms`; its outcome is kept for
    `ticket_kept_after_expiry_ms` more. A key is good for `key_lifetime_ms` from its first use.
    """

    ticket_valid_for_ms: float = 600_000.0
    ticket_kept_after_expiry_ms: float = 600_000.0
    key_lifetime_ms: float = 600_000.0
    max_records: int = 10_000
    max_kept_chars: int = 16_000_000

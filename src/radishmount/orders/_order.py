"""An order: a request that runs at most once, and what is known of its outcome."""

from dataclasses import dataclass
from typing import Any

from radishmount.codes import Ran


__all__ = ["Order", "OrderOutcome", "Ticket"]


@dataclass(frozen=True, slots=True)
class Order:
    """One order of a caller to a service, such as a booking or an engraving."""

    request_id: str
    caller: str
    service: str
    body: dict[str, Any]
    deadline_at_ms: float


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """What became of an order: its result when it ran, or that it did not or may have."""

    ran: Ran
    result: dict[str, Any] | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Ticket:
    """A caller's right to ask again: it names the instance that keeps the outcome.

    `incarnation` tells one start of the instance from the next; `expires_at_ms` is a time of day.
    """

    number: str
    instance: str
    incarnation: int
    expires_at_ms: float

"""An order: a request that runs at most once, and what is known of its outcome."""

from dataclasses import dataclass
from typing import Any

from radishmount.codes import Code, Refusal, RunStatus


__all__ = ["Order", "OrderAnswer", "OrderCall", "OrderOutcome"]


@dataclass(frozen=True, slots=True)
class OrderCall:
    """An order as a caller asks for it.

    Without `deadline_ms` the rule's deadline holds. `ticket` and `key` let a caller ask again;
    with `wants_ticket` the answer brings a ticket under which its outcome is kept.
    """

    caller: str
    service: str
    body: dict[str, Any]
    deadline_ms: float | None = None
    ticket: str | None = None
    key: str | None = None
    wants_ticket: bool = False


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
    """What became of an order: its result when it ran, or why there is none.

    An order whose endpoint reported an error ran without a result and has a code.
    """

    ran: RunStatus
    code: Code | None = None
    result: dict[str, Any] | None = None
    detail: str = ""

    def to_refusal(self) -> Refusal | None:
        """Return the refusal that tells of this outcome, none when there is a result."""
        if self.code is None:
            return None
        return Refusal(self.code, detail=self.detail, ran=self.ran)


def refused(refusal: Refusal) -> OrderOutcome:
    """Return the outcome of an order that was refused."""
    return OrderOutcome(refusal.ran, refusal.code, detail=refusal.detail)


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """What a caller is told. `replayed` marks an outcome that was recorded for a request before."""

    outcome: OrderOutcome
    ticket: str | None = None
    replayed: bool = False

"""An order, which is a request that runs at most once, and its outcome."""

from dataclasses import dataclass
from typing import Any

from radishmount.codes import Code, Refusal, RunStatus


__all__ = ["Order", "OrderAnswer", "OrderCall", "OrderOutcome"]


@dataclass(frozen=True, slots=True)
class OrderCall:
    """An order as a caller requests it.

    Without `deadline_ms` the rule's deadline applies. A caller that sets `ticket` or `key` may
    repeat the order and gets its recorded outcome. With `wants_ticket` the order runs under a new
    ticket, which the answer contains.
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
    """One admitted order of a caller to a service, such as a booking or an engraving."""

    request_id: str
    caller: str
    service: str
    body: dict[str, Any]
    deadline_at_ms: float


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """The outcome of an order: its result, or a code that says why there is none.

    An order whose endpoint reported an error ran, but has a code instead of a result.
    """

    ran: RunStatus
    code: Code | None = None
    result: dict[str, Any] | None = None
    detail: str = ""

    def to_refusal(self) -> Refusal | None:
        """Return the outcome as a refusal, or none when it has no code."""
        if self.code is None:
            return None
        return Refusal(self.code, detail=self.detail, ran=self.ran)


def refused_outcome(refusal: Refusal) -> OrderOutcome:
    """Return the outcome of an order that was refused."""
    return OrderOutcome(refusal.ran, refusal.code, detail=refusal.detail)


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The answer to a caller. `replayed` means that an earlier request led to the outcome."""

    outcome: OrderOutcome
    ticket: str | None = None
    replayed: bool = False

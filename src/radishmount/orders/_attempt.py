"""One attempt to run an order at an endpoint, over the connections that searches use too."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from radishmount.endpoints import Channel, Endpoint, OrderAttemptOutcome, OrderRequest


__all__ = ["OrderAttempt"]

LATE_REPLY_GRACE_MS = 2_000.0


@dataclass(slots=True, eq=False)
class OrderAttempt:
    """An order that is sent to one endpoint. `deliver` is called at most once, with the outcome."""

    request: OrderRequest
    endpoint: Endpoint
    deliver: Callable[["OrderAttempt", OrderAttemptOutcome], None]
    submitted_at_ms: float
    exchange_timeout_ms: float = inf
    sent_at_ms: float | None = None
    ended_at_ms: float | None = None
    cancelled: bool = False
    interrupt: Callable[[], None] | None = None

    @property
    def deadline_at_ms(self) -> float:
        """Return the time until which the reply is awaited.

        It is later than the order's own deadline: the gate sends nothing after that deadline, but
        a late reply still tells whether the order ran.
        """
        return self.request.deadline_at_ms + LATE_REPLY_GRACE_MS

    @property
    def index_version(self) -> int | None:
        """Return none: an order does not depend on an index version."""
        return None

    async def send(self, channel: Channel, remaining_ms: float) -> OrderAttemptOutcome:
        """Send the order over `channel` and return the reply or the failure."""
        return await channel.place(self.request, remaining_ms)

    def finish(self, outcome: OrderAttemptOutcome, now_ms: float) -> None:
        """Deliver the outcome. Later outcomes of the same attempt are ignored."""
        if self.ended_at_ms is not None:
            return
        self.ended_at_ms = now_ms
        self.interrupt = None
        self.deliver(self, outcome)

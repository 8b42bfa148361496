"""One attempt at an order, over a connection that searches share."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from radishmount.endpoints import Channel, Endpoint, OrderAttemptOutcome, OrderRequest


__all__ = ["OrderAttempt"]

LATE_ANSWER_MS = 2_000.0


@dataclass(slots=True, eq=False)
class OrderAttempt:
    """One order on its way to one endpoint. `deliver` is called at most once."""

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
        """Return the time until which the answer is listened for.

        The gate sends nothing after the order's own deadline; an answer that comes a little later
        still tells what became of the order.
        """
        return self.request.deadline_at_ms + LATE_ANSWER_MS

    @property
    def index_version(self) -> int | None:
        """Return none: orders are of no index version."""
        return None

    async def send(self, channel: Channel, remaining_ms: float) -> OrderAttemptOutcome:
        """Make the exchange over `channel`."""
        return await channel.place(self.request, remaining_ms)

    def finish(self, outcome: OrderAttemptOutcome, now_ms: float) -> None:
        """Deliver the outcome. Later outcomes of the same attempt are dropped."""
        if self.ended_at_ms is not None:
            return
        self.ended_at_ms = now_ms
        self.interrupt = None
        self.deliver(self, outcome)

"""One attempt at an order, over a connection that searches share."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from radishmount.endpoints import Channel, Endpoint, OrderExchange, OrderRequest


__all__ = ["OrderAttempt"]

LATE_ANSWER_MS = 2_000.0


@dataclass(slots=True, eq=False)
class OrderAttempt:
    """One order on its way to one endpoint. `deliver` is called at most once."""

    request: OrderRequest
    endpoint: Endpoint
    deliver: Callable[["OrderAttempt", OrderExchange], None]
    submitted_at_ms: float
    cancelled: bool = False
    timeout: asyncio.Timeout | None = None

    @property
    def deadline_at_ms(self) -> float:
        """Return the time until which the answer is listened for.

        The gate sends nothing after the order's own deadline; an answer that comes a little later
        still tells what became of the order.
        """
        return self.request.deadline_at_ms + LATE_ANSWER_MS

    async def send(self, channel: Channel, remaining_ms: float) -> OrderExchange:
        """Make the exchange over `channel`."""
        return await channel.place(self.request, remaining_ms)

    def finish(self, outcome: OrderExchange) -> None:
        """Deliver the outcome."""
        self.deliver(self, outcome)

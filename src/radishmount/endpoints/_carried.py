"""What a connection carries: anything that can be sent over a channel before a deadline."""

import asyncio
from typing import Any, Protocol

from result import Result

from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._exchange import Channel, Failure


__all__ = ["Carried"]


class Carried(Protocol):
    """One attempt on its way to one endpoint; a search's or an order's.

    A reply of any kind holds the endpoint's report as `load`.
    """

    endpoint: Endpoint
    submitted_at_ms: float
    cancelled: bool
    timeout: asyncio.Timeout | None

    @property
    def deadline_at_ms(self) -> float:
        """Return the time after which nothing is sent."""

    async def send(self, channel: Channel, remaining_ms: float) -> Result[Any, Failure]:
        """Make the exchange over `channel`."""

    def finish(self, outcome: Result[Any, Failure]) -> None:
        """Take the outcome; called exactly once."""

"""Where the task of one request finds the outcomes of its attempts."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from result import Result

from radishmount.endpoints._attempt import Attempt
from radishmount.endpoints._exchange import Failure
from radishmount.endpoints._waker import wake


__all__ = ["Mailbox"]


@dataclass(slots=True)
class Mailbox:
    """Outcomes in the order in which they came. One task reads it.

    await mailbox.wait(until_ms - now_ms)
    while mailbox.outcomes:
        attempt, outcome = mailbox.outcomes.popleft()
    """

    outcomes: deque[tuple[Attempt, Result[Any, Failure]]] = field(default_factory=deque)
    waker: asyncio.Future[None] | None = None

    def deliver(self, attempt: Attempt, outcome: Result[Any, Failure]) -> None:
        """Put one outcome in and wake the reader."""
        self.outcomes.append((attempt, outcome))
        if self.waker is not None:
            wake(self.waker)

    async def wait(self, limit_ms: float) -> None:
        """Wait for an outcome, at most `limit_ms`."""
        if self.outcomes:
            return
        loop = asyncio.get_running_loop()
        self.waker = loop.create_future()
        timer = loop.call_later(max(0.0, limit_ms) / 1000.0, wake, self.waker)
        try:
            await self.waker
        finally:
            timer.cancel()
            self.waker = None

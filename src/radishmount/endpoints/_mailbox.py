"""The queue from which the task of one request reads the outcomes of its attempts."""

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
    """The outcomes of attempts in the order in which they came. Only one task may read them.

    await mailbox.wait(until_ms - now_ms)
    while mailbox.outcomes:
        attempt, outcome = mailbox.outcomes.popleft()
    """

    outcomes: deque[tuple[Attempt, Result[Any, Failure]]] = field(default_factory=deque)
    waker: asyncio.Future[None] | None = None

    def deliver(self, attempt: Attempt, outcome: Result[Any, Failure]) -> None:
        """Append one outcome and wake the reading task."""
        self.outcomes.append((attempt, outcome))
        if self.waker is not None:
            wake(self.waker)

    async def wait(self, limit_ms: float) -> None:
        """Wait until there is an outcome, at most for `limit_ms` milliseconds."""
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

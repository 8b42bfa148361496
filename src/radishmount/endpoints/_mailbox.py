"""The queue from which the task of one request reads the outcomes of its attempts."""

import asyncio
from collections import deque
from collections.abc import Callable
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

    A request to many shards gains nothing from handling each reply at once. So the reader may wait
    for several outcomes, but one for which `is_urgent` returns true wakes it at any rate.

        await mailbox.wait(until_ms - now_ms)
        while mailbox.outcomes:
            attempt, outcome = mailbox.outcomes.popleft()
    """

    is_urgent: Callable[[Result[Any, Failure]], bool] = lambda outcome: True
    outcomes: deque[tuple[Attempt, Result[Any, Failure]]] = field(default_factory=deque)
    wake_count: int = 1
    waker: asyncio.Future[None] | None = None

    def deliver(self, attempt: Attempt, outcome: Result[Any, Failure]) -> None:
        """Append one outcome, and wake the reading task if this is what it waits for."""
        self.outcomes.append((attempt, outcome))
        if self.waker is None:
            return
        if len(self.outcomes) >= self.wake_count or self.is_urgent(outcome):
            wake(self.waker)

    async def wait(self, limit_ms: float, wake_count: int = 1) -> None:
        """Wait until there are `wake_count` outcomes or an urgent one, at most for `limit_ms`.

        Outcomes that were there before the call count, but do not count as urgent.
        """
        if len(self.outcomes) >= wake_count:
            return
        loop = asyncio.get_running_loop()
        self.wake_count = wake_count
        self.waker = loop.create_future()
        timer = loop.call_later(max(0.0, limit_ms) / 1000.0, wake, self.waker)
        try:
            await self.waker
        finally:
            timer.cancel()
            self.waker = None

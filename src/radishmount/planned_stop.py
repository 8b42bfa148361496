"""The time limits of the requests of an instance that stops."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from math import inf

from radishmount.clock import Clock


__all__ = ["PlannedStop"]

ANSWER_MARGIN_MS = 50.0  # for the answer to a request whose time is bounded by the stop


@dataclass(slots=True)
class PlannedStop:
    """Until when an instance that stops takes requests, and by when all of them are answered.

    Neither time is set before the stop begins. `open_limits` are the timeouts of the requests
    that are being read or forwarded.

        async with planned_stop.limit():  # raises TimeoutError once the time is up
            return await forward(plan, context)
    """

    clock: Clock
    refuses_from_ms: float = inf
    answers_until_ms: float = inf
    open_limits: set[asyncio.Timeout] = field(default_factory=set)

    def begin(self, accept_for_ms: float, answer_within_ms: float) -> None:
        """Begin to stop; both times are counted from now and may be infinite."""
        now_ms = self.clock.now_ms()
        self.refuses_from_ms = now_ms + accept_for_ms
        self.answers_until_ms = now_ms + answer_within_ms
        for limit in self.open_limits:
            self._apply_to(limit)

    def refuses_requests(self) -> bool:
        """Return whether it is too late to take a request, as too little time would be left."""
        return self.clock.now_ms() >= self.refuses_from_ms

    def bound_time_left(self, time_left_ms: float | None, arrived_at_ms: float) -> float | None:
        """Return the time that a caller waits after the arrival, bounded by the end of the stop."""
        if self.answers_until_ms == inf:
            return time_left_ms
        bound_ms = max(0.0, self.answers_until_ms - arrived_at_ms - ANSWER_MARGIN_MS)
        return bound_ms if time_left_ms is None else min(time_left_ms, bound_ms)

    @asynccontextmanager
    async def limit(self) -> AsyncIterator[None]:
        """Raise TimeoutError in the block once the time to answer is up."""
        async with asyncio.timeout(None) as limit:
            self.open_limits.add(limit)
            self._apply_to(limit)
            try:
                yield
            finally:
                self.open_limits.discard(limit)

    def _apply_to(self, limit: asyncio.Timeout) -> None:
        if self.answers_until_ms == inf or limit.expired():
            return
        left_ms = self.clock.remaining_ms(self.answers_until_ms)
        limit.reschedule(asyncio.get_running_loop().time() + left_ms / 1000.0)

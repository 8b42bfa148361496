"""One attempt at a sub-request or a forwarded request."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import Any

from result import Err, Result

from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._exchange import Channel, Failure


__all__ = ["Attempt", "Purpose"]

RESULT_OK = "OK"


class Purpose(StrEnum):
    """Why an attempt is made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


def _deliver_nothing(attempt: "Attempt", outcome: Result[Any, Failure]) -> None:
    """Do nothing, as the outcome has been delivered."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have one endpoint answer a sub-request or a forwarded request.

    `deliver` is called exactly once, with the outcome, and then forgotten: the request to which it
    belongs refers to its attempts, so both would stay until the cyclic garbage collector has run.
    An exchange that takes longer than
    `exchange_timeout_ms` is aborted. The connection pool that holds the attempt sets `interrupt`,
    which removes it from the queue or aborts its exchange. `result` is the name of the failure's
    code, or OK.
    """

    request: Any
    endpoint: Endpoint
    deliver: Callable[["Attempt", Result[Any, Failure]], None]
    submitted_at_ms: float
    purpose: Purpose = Purpose.FIRST
    exchange_timeout_ms: float = inf
    sent_at_ms: float | None = None
    ended_at_ms: float | None = None
    result: str = ""
    cancelled: bool = False
    interrupt: Callable[[], None] | None = None

    @property
    def deadline_at_ms(self) -> float:
        """Return the deadline of the request, as a time on the monotonic clock."""
        deadline_at_ms: float = self.request.deadline_at_ms
        return deadline_at_ms

    @property
    def index_version(self) -> int | None:
        """Return the index version that is requested, None for a forwarded request."""
        index_version: int | None = self.request.index_version
        return index_version

    async def send(self, channel: Channel, remaining_ms: float) -> Result[Any, Failure]:
        """Send the request over `channel` and return the reply, or why there is none."""
        return await channel.exchange(self.request, remaining_ms)

    def cancel(self) -> None:
        """Remove the attempt from the queue, or abort its exchange and close the connection."""
        if self.cancelled or self.ended_at_ms is not None:
            return
        self.cancelled = True
        if self.interrupt is not None:
            self.interrupt()

    def finish(self, outcome: Result[Any, Failure], now_ms: float) -> None:
        """Deliver `outcome`. Later outcomes of the same attempt are ignored."""
        if self.ended_at_ms is not None:
            return
        self.ended_at_ms = now_ms
        self.interrupt = None
        self.result = outcome.err_value.code.name if isinstance(outcome, Err) else RESULT_OK
        deliver, self.deliver = self.deliver, _deliver_nothing
        deliver(self, outcome)

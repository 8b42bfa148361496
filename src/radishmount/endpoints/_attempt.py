"""One sub-request on its way to one endpoint."""

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


@dataclass(slots=True, eq=False)
class Attempt:
    """One request, a sub-request or a forwarded one, for one endpoint.

    `deliver` is called exactly once.

    An exchange that lasts longer than `exchange_timeout_ms` is broken off. `interrupt` is set by
    the link that holds the attempt, and takes it out of the queue or breaks its exchange off.
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
        """Return the time after which the exchange is broken off."""
        deadline_at_ms: float = self.request.deadline_at_ms
        return deadline_at_ms

    @property
    def index_version(self) -> int | None:
        """Return the index version that is asked for, none for a forwarded request."""
        index_version: int | None = self.request.index_version
        return index_version

    async def send(self, channel: Channel, remaining_ms: float) -> Result[Any, Failure]:
        """Make the exchange over `channel`."""
        return await channel.exchange(self.request, remaining_ms)

    def cancel(self) -> None:
        """Give the attempt up: it is not sent, or its connection is closed."""
        if self.cancelled or self.ended_at_ms is not None:
            return
        self.cancelled = True
        if self.interrupt is not None:
            self.interrupt()

    def finish(self, outcome: Result[Any, Failure], now_ms: float) -> None:
        """Deliver `outcome`. Later outcomes of the same attempt are dropped."""
        if self.ended_at_ms is not None:
            return
        self.ended_at_ms = now_ms
        self.interrupt = None
        self.result = outcome.err_value.code.name if isinstance(outcome, Err) else RESULT_OK
        self.deliver(self, outcome)

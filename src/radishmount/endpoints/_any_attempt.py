"""What a connection carries: anything that can be sent over a channel before a deadline."""

from collections.abc import Callable
from typing import Any, Protocol

from result import Result

from radishmount.codes import Code
from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._exchange import Channel, Failure


__all__ = ["AnyAttempt", "was_silent"]

ROUNDING_MS = 0.01


class AnyAttempt(Protocol):
    """One attempt on its way to one endpoint; a search's or an order's.

    A reply of any kind holds the endpoint's report as `load`. `interrupt` is set by the link that
    holds the attempt. An exchange that lasts longer than `exchange_timeout_ms` is broken off.
    """

    request: Any
    endpoint: Endpoint
    exchange_timeout_ms: float
    sent_at_ms: float | None
    ended_at_ms: float | None
    cancelled: bool
    interrupt: Callable[[], None] | None

    @property
    def deadline_at_ms(self) -> float:
        """Return the time after which the exchange is broken off."""

    @property
    def index_version(self) -> int | None:
        """Return the index version that is asked for, none for an order."""

    async def send(self, channel: Channel, remaining_ms: float) -> Result[Any, Failure]:
        """Make the exchange over `channel`."""

    def finish(self, outcome: Result[Any, Failure], now_ms: float) -> None:
        """Take the outcome."""


def was_silent(attempt: AnyAttempt, code: Code) -> bool:
    """Tell whether the exchange ended with `code` by its progress limit, not the deadline."""
    if code is not Code.TIMED_OUT or attempt.sent_at_ms is None or attempt.ended_at_ms is None:
        return False
    return attempt.ended_at_ms - attempt.sent_at_ms >= attempt.exchange_timeout_ms - ROUNDING_MS

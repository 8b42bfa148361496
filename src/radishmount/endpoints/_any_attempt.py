"""The protocol of attempts: whatever a connection pool can send over one of its channels."""

from collections.abc import Callable
from typing import Any, Protocol

from result import Result

from radishmount.codes import Code
from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._exchange import Channel, Failure


__all__ = ["AnyAttempt", "exchange_timed_out"]

ROUNDING_MS = 0.01  # tolerance for rounding errors in the difference of two times


class AnyAttempt(Protocol):
    """One attempt at a sub-request, a forwarded request or an order, at one endpoint.

    Every kind of reply has the endpoint's report as `load`. The connection pool that holds the
    attempt sets `interrupt`, which ends it early. An exchange that takes longer than
    `exchange_timeout_ms` is aborted.
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
        """Return the deadline of the request, as a time on the monotonic clock."""

    @property
    def index_version(self) -> int | None:
        """Return the index version that is requested, None for an order."""

    async def send(self, channel: Channel, remaining_ms: float) -> Result[Any, Failure]:
        """Send the request over `channel` and return the reply, or why there is none."""

    def finish(self, outcome: Result[Any, Failure], now_ms: float) -> None:
        """End the attempt with `outcome`."""


def exchange_timed_out(attempt: AnyAttempt, code: Code) -> bool:
    """Return whether an exchange that failed with `code` hit its own timeout, not the deadline."""
    if code is not Code.TIMED_OUT or attempt.sent_at_ms is None or attempt.ended_at_ms is None:
        return False
    return attempt.ended_at_ms - attempt.sent_at_ms >= attempt.exchange_timeout_ms - ROUNDING_MS

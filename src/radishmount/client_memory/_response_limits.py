"""What an instance holds of the responses of endpoints, and which of them have to go."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from radishmount.client_memory._eviction import take_until_free
from radishmount.client_memory._response_body import MIN_COUNTED_BYTES, ResponseBody


__all__ = [
    "DEFAULT_MAX_RESPONSE_BYTES",
    "ResponseAccount",
    "ResponseLimits",
    "choose_responses_to_reject",
]

DEFAULT_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
DEFAULT_MAX_TOTAL_BYTES = 64 * 1024 * 1024
REJECTION_TARGET_SHARE = 0.9  # of the bound, so that responses are rejected in groups
MIN_SCORED_AGE_MS = 1.0  # so that the bytes decide between responses that have just begun


@dataclass(slots=True, eq=False)
class ResponseAccount:
    """What is held of one response that is being received; `reject` ends its exchange."""

    began_at_ms: float
    reject: Callable[[], None]
    held_bytes: int = 0


@dataclass(slots=True)
class ResponseLimits:
    """Bounds the memory of one response, and of all that no client's connection has taken over yet.

    An endpoint in trouble may send a head or a body without end, or stop short of the end. The
    connections of an instance share one object; `pending_bytes` is what is held of responses at
    present. Beyond the bound on all of them, those that hold most for longest are rejected, so that
    the endpoints of one service do not fail the requests to another.

        account = limits.open(now_ms, reject)
        limits.update(account, held_bytes, now_ms)  # may call `reject`, of this account or others
        limits.close(account)
    """

    max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES
    max_total_bytes: int = DEFAULT_MAX_TOTAL_BYTES
    pending_bytes: int = 0
    accounts: dict[ResponseAccount, None] = field(default_factory=dict)

    def open(self, now_ms: float, reject: Callable[[], None]) -> ResponseAccount:
        """Return the account of a response whose first bytes have come."""
        account = ResponseAccount(now_ms, reject)
        self.accounts[account] = None
        return account

    def update(self, account: ResponseAccount, held_bytes: int, now_ms: float) -> None:
        """Count what is held of a response now, and reject responses if all hold too much."""
        self.pending_bytes += held_bytes - account.held_bytes
        account.held_bytes = held_bytes
        if self.pending_bytes <= self.max_total_bytes:
            return
        excess_bytes = self.pending_bytes - int(REJECTION_TARGET_SHARE * self.max_total_bytes)
        for chosen in choose_responses_to_reject(self.accounts, excess_bytes, now_ms):
            chosen.reject()

    def close(self, account: ResponseAccount) -> None:
        """Release what is held of a response that is complete, or will not be."""
        if account in self.accounts:
            del self.accounts[account]
            self.pending_bytes -= account.held_bytes

    def count_body(self, content: bytearray) -> bytes:
        """Return a copy of a complete body, which is pending until it is taken over or dropped."""
        if len(content) < MIN_COUNTED_BYTES:
            return bytes(content)
        self.pending_bytes += len(content)
        return ResponseBody.counted(content, partial(self._release, len(content)))

    def _release(self, byte_count: int) -> None:
        self.pending_bytes -= byte_count


def choose_responses_to_reject(
    accounts: Iterable[ResponseAccount], excess_bytes: int, now_ms: float
) -> list[ResponseAccount]:
    """Return the responses to reject until `excess_bytes` are free.

    First go those that hold most for longest. Bytes that come now and then do not help a response,
    as its whole age counts.
    """
    ranked = sorted(accounts, key=lambda account: _score(account, now_ms), reverse=True)
    return take_until_free(ranked, excess_bytes)


def _score(account: ResponseAccount, now_ms: float) -> float:
    return account.held_bytes * max(MIN_SCORED_AGE_MS, now_ms - account.began_at_ms)

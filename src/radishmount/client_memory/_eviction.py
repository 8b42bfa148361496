"""Chooses which connections of clients have to go."""

from collections.abc import Collection, Iterable
from typing import Protocol, TypeVar

from radishmount.client_memory._account import Activity, ConnectionAccount
from radishmount.client_memory._limits import CONNECTION_BYTES


__all__ = [
    "choose_evictions",
    "choose_for_new",
    "choose_idle",
    "choose_stalled",
    "take_until_free",
]

STALL_MS = 500.0  # several round trips; a client that is sending makes progress within that time
MIN_SCORED_STALL_MS = 1.0  # so that the bytes decide between connections that have just progressed


class Holder(Protocol):
    """Anything that holds memory."""

    held_bytes: int


AnyHolder = TypeVar("AnyHolder", bound=Holder)


def take_until_free(ranked: Iterable[AnyHolder], excess_bytes: float) -> list[AnyHolder]:
    """Return the first of `ranked` that together hold `excess_bytes`."""
    chosen = []
    for holder in ranked:
        if excess_bytes <= 0:
            break
        chosen.append(holder)
        excess_bytes -= holder.held_bytes
    return chosen


def choose_evictions(
    accounts: Collection[ConnectionAccount], excess_bytes: int, now_ms: float
) -> list[ConnectionAccount]:
    """Return the connections to evict until `excess_bytes` are free.

    First go those that hold most for longest without progress. A request that is handled goes only
    if others wait behind it, as it is bounded by its deadline and may have run. What connections
    hold that were evicted before will be free as well.
    """
    excess_bytes -= sum(account.held_bytes for account in accounts if account.is_closing)
    candidates = [a for a in accounts if _can_be_evicted(a)]
    candidates.sort(key=lambda account: _score(account, now_ms), reverse=True)
    return take_until_free(candidates, excess_bytes)


def choose_stalled(
    accounts: Iterable[ConnectionAccount], fair_bytes: float, now_ms: float
) -> list[ConnectionAccount]:
    """Return the connections that hold more than their fair part and give nothing for it.

    They have not made progress for some time, or have sent requests without waiting for responses.
    """
    chosen = []
    for account in accounts:
        if account.held_bytes <= fair_bytes or not _can_be_evicted(account):
            continue
        is_stalled = now_ms - account.progressed_at_ms >= STALL_MS
        if is_stalled or account.activity() is Activity.QUEUED:
            chosen.append(account)
    return chosen


def choose_idle(
    accounts: Collection[ConnectionAccount], excess_bytes: float, now_ms: float
) -> list[ConnectionAccount]:
    """Return the idle connections to close until `excess_bytes` are free, the longest idle first.

    Those that have just been used stay, as their next request may be on its way.
    """
    excess_bytes -= sum(account.held_bytes for account in accounts if account.is_closing)
    idle = []
    for account in accounts:
        if account.is_closing or now_ms - account.progressed_at_ms < STALL_MS:
            continue
        if account.activity() is Activity.IDLE:
            idle.append(account)
    idle.sort(key=lambda account: account.progressed_at_ms)
    return take_until_free(idle, excess_bytes)


def choose_for_new(
    accounts: Iterable[ConnectionAccount], now_ms: float
) -> ConnectionAccount | None:
    """Return the connection to close for a new one, or None if all of them are in use.

    Idle connections go first, then others without progress, each the longest one first, and then
    those that send requests without waiting for the responses.
    """
    chosen: ConnectionAccount | None = None
    chosen_key = (0, 0.0)
    for account in accounts:
        activity = account.activity()
        if account.is_closing or activity is Activity.RUNNING:
            continue
        stalled_ms = now_ms - account.progressed_at_ms
        if activity is Activity.IDLE:
            key = (3, stalled_ms)
        elif stalled_ms >= STALL_MS:
            key = (2, stalled_ms)
        elif activity is Activity.QUEUED:
            key = (1, float(account.held_bytes))
        else:
            continue
        if chosen is None or key > chosen_key:
            chosen, chosen_key = account, key
    return chosen


def _can_be_evicted(account: ConnectionAccount) -> bool:
    if account.is_closing or account.held_bytes <= CONNECTION_BYTES:
        return False
    return account.activity() not in (Activity.RUNNING, Activity.IDLE)


def _score(account: ConnectionAccount, now_ms: float) -> float:
    stalled_ms = max(MIN_SCORED_STALL_MS, now_ms - account.progressed_at_ms)
    return account.held_bytes * stalled_ms

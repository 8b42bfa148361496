"""Waking a task that waits on a future or within a timeout."""

import asyncio


__all__ = ["expire_now", "wake"]


def wake(waker: asyncio.Future[None]) -> None:
    """Wake the task that waits on `waker`, unless it was woken or cancelled before."""
    if not waker.done():
        waker.set_result(None)


def expire_now(timeout: asyncio.Timeout) -> None:
    """End the block of `timeout` now, unless its time is up already."""
    if not timeout.expired():
        timeout.reschedule(0.0)

"""Waking a task that waits on a future."""

import asyncio


__all__ = ["wake"]


def wake(waker: asyncio.Future[None]) -> None:
    """Wake the task that waits on `waker`, unless it was woken or cancelled before."""
    if not waker.done():
        waker.set_result(None)

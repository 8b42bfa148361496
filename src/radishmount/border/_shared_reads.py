"""Reads of all connections of an event loop through one buffer."""

import asyncio
import threading
from collections.abc import Callable


__all__ = ["LARGEST_READ_BYTES", "SharedReads"]

LARGEST_READ_BYTES = 32_768


class _BufferOfThread(threading.local):
    """A buffer for each thread, and so for each running event loop."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(LARGEST_READ_BYTES))


_BUFFER = _BufferOfThread()


class SharedReads(asyncio.BufferedProtocol):
    """Takes what is read from the buffer of the thread, so that idle connections need none.

    The class beside it in the bases has `data_received`.

    An event loop reads one socket at a time, and each read is copied before the next one. Loops on
    other threads read meanwhile, so each thread has a buffer of its own.
    """

    __slots__ = ()
    read_bytes = LARGEST_READ_BYTES
    data_received: Callable[[bytes], None]

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections of the event loop share."""
        return _BUFFER.view[: self.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes of a read."""
        self.data_received(bytes(_BUFFER.view[:nbytes]))

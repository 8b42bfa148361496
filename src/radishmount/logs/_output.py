"""Writes lines through a bounded buffer to a non-blocking file descriptor."""

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass, field


__all__ = ["LogOutput", "open_standard_output"]

BUFFER_BYTES = 262_144  # about a thousand lines, a few seconds of the busiest log
FLUSH_INTERVAL_S = 0.1  # short enough for readers, long enough to write many lines at once
STANDARD_OUTPUT = 1

Write = Callable[[bytes], int]


@dataclass(slots=True)
class LogOutput:
    """A buffer of lines to be written. Lines that do not fit in are dropped and counted.

    `write` writes bytes and returns how many it wrote; it must raise BlockingIOError rather than
    block. `is_closed` is true once a write has failed; no more are tried.
    """

    write: Write
    buffer: bytearray
    dropped: int = 0
    is_closed: bool = False
    has_lines: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, line: bytes) -> None:
        """Add one line, including its newline, or drop it if it cannot be written."""
        if self.is_closed or len(self.buffer) + len(line) > BUFFER_BYTES:
            self.dropped += 1
            return
        self.buffer += line
        self.has_lines.set()

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        while self.buffer and not self.is_closed:
            try:
                written_bytes = self.write(bytes(self.buffer))
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone, and there is no other place to report it.
                self.is_closed = True
                self.buffer.clear()
                return
            del self.buffer[:written_bytes]

    def pop_dropped_count(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    async def run(self) -> None:
        """Flush at intervals while there are lines, until cancelled; sleep while there are none."""
        while True:
            await self.has_lines.wait()
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
            if not self.buffer:
                self.has_lines.clear()


def open_standard_output() -> LogOutput:
    """Return an output to standard output that a stalled reader cannot block."""
    os.set_blocking(STANDARD_OUTPUT, False)
    return LogOutput(lambda content: os.write(STANDARD_OUTPUT, content), bytearray())

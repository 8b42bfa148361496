"""Where lines go: a bounded buffer before a file descriptor that is never waited for."""

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass, field


__all__ = ["LogOutput", "open_standard_output"]

BUFFER_BYTES = 262_144  # some thousand lines, a few seconds of the busiest log
FLUSH_INTERVAL_S = 0.1  # a reader sees a line soon enough, and one write takes many lines
STANDARD_OUTPUT = 1

Write = Callable[[bytes], int]


@dataclass(slots=True)
class LogOutput:
    """Lines that wait to be written. Those for which there is no room are dropped and counted.

    `write` takes bytes and returns how many it took; it raises BlockingIOError rather than wait.
    """

    write: Write
    buffer: bytearray
    dropped: int = 0
    is_broken: bool = False
    has_lines: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, line: bytes) -> None:
        """Add one line, with its end, unless the buffer is full."""
        if len(self.buffer) + len(line) > BUFFER_BYTES:
            self.dropped += 1
            return
        self.buffer += line
        self.has_lines.set()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.buffer and not self.is_broken:
            try:
                taken = self.write(bytes(self.buffer))
            except BlockingIOError:
                return
            except OSError:
                self.is_broken = True  # nobody reads any more, and there is nowhere to say so
                self.buffer.clear()
                return
            del self.buffer[:taken]

    def pop_dropped_count(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    async def run(self) -> None:
        """Write now and then for as long as the process runs; an idle one is not woken."""
        while True:
            await self.has_lines.wait()
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
            if not self.buffer:
                self.has_lines.clear()


def open_standard_output() -> LogOutput:
    """Return the standard output of the process, which a standing reader cannot hold up."""
    os.set_blocking(STANDARD_OUTPUT, False)
    return LogOutput(lambda content: os.write(STANDARD_OUTPUT, content), bytearray())

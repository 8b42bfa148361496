"""Tests of the log output with a reader that may stall."""

import asyncio

import pytest

from radishmount.logs import LogOutput


LINE = b"x" * 999 + b"\n"


class Reader:
    """Accepts `free_bytes` bytes, then none until a test sets the number again."""

    def __init__(self, free_bytes: int) -> None:
        self.free_bytes = free_bytes
        self.received = bytearray()

    def write(self, content: bytes) -> int:
        """Accept as many bytes as there is room for, or raise if there is none."""
        if not self.free_bytes:
            raise BlockingIOError
        accepted = content[: self.free_bytes]
        self.free_bytes -= len(accepted)
        self.received += accepted
        return len(accepted)


class TestLogOutput:
    """The output never blocks, its buffer is bounded, and lines are dropped only whole."""

    def test_a_stalled_reader_loses_lines_but_never_blocks_the_output(self) -> None:
        reader = Reader(0)
        output = LogOutput(reader.write, bytearray())

        for _ in range(10_000):
            output.put(LINE)
            output.flush()

        assert len(output.buffer) <= 262_144
        assert output.pop_dropped_count() == 10_000 - len(output.buffer) // len(LINE)

    def test_lines_after_the_reader_has_gone_are_dropped(self) -> None:
        """Kept lines would fill the buffer, and wake the writing task again and again."""

        def fail(content: bytes) -> int:
            raise BrokenPipeError

        output = LogOutput(fail, bytearray())
        output.put(LINE)
        output.flush()
        output.has_lines.clear()
        output.put(LINE)

        assert not output.buffer
        assert not output.has_lines.is_set()
        assert output.pop_dropped_count() == 1

    def test_a_reader_that_resumes_gets_complete_lines(self) -> None:
        reader = Reader(1_500)
        output = LogOutput(reader.write, bytearray())
        for _ in range(3):
            output.put(LINE)
        output.flush()
        reader.free_bytes = 10_000
        output.flush()

        assert bytes(reader.received) == 3 * LINE
        assert output.pop_dropped_count() == 0

    def test_a_closed_reader_raises_no_error(self) -> None:
        def write(content: bytes) -> int:
            raise BrokenPipeError

        output = LogOutput(write, bytearray())
        output.put(LINE)
        output.flush()

        assert output.is_closed

    @pytest.mark.looptime
    async def test_lines_are_written_soon(self) -> None:
        reader = Reader(2_000)
        output = LogOutput(reader.write, bytearray())
        task = asyncio.create_task(output.run())
        output.put(LINE)
        await asyncio.sleep(0.2)
        first = len(reader.received)
        output.put(LINE)
        await asyncio.sleep(0.2)
        task.cancel()

        assert (first, len(reader.received)) == (1_000, 2_000)

    @pytest.mark.looptime
    async def test_a_reader_that_stalls_for_a_while_gets_all_lines(self) -> None:
        reader = Reader(0)
        output = LogOutput(reader.write, bytearray())
        task = asyncio.create_task(output.run())
        output.put(LINE)
        await asyncio.sleep(5.0)
        reader.free_bytes = 1_000
        await asyncio.sleep(0.2)
        task.cancel()

        assert bytes(reader.received) == LINE

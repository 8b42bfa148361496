"""Tests of lines whose reader may stand still."""

import asyncio

import pytest

from radishmount.logs import LogOutput


LINE = b"x" * 999 + b"\n"


class Reader:
    """Takes `room` bytes, then nothing more until it is given room again."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.read = bytearray()

    def write(self, content: bytes) -> int:
        """Take what there is room for."""
        if not self.room:
            raise BlockingIOError
        taken = content[: self.room]
        self.room -= len(taken)
        self.read += taken
        return len(taken)


class TestLogOutput:
    """Never waited for, bounded, and nothing is lost in the middle of a line."""

    def test_a_standing_reader_costs_lines_and_no_time(self) -> None:
        reader = Reader(0)
        output = LogOutput(reader.write, bytearray())

        for _ in range(10_000):
            output.put(LINE)
            output.flush()

        assert len(output.buffer) <= 262_144
        assert output.pop_dropped_count() == 10_000 - len(output.buffer) // len(LINE)

    def test_a_reader_that_goes_on_gets_whole_lines(self) -> None:
        reader = Reader(1_500)
        output = LogOutput(reader.write, bytearray())
        for _ in range(3):
            output.put(LINE)
        output.flush()
        reader.room = 10_000
        output.flush()

        assert bytes(reader.read) == 3 * LINE
        assert output.pop_dropped_count() == 0

    def test_a_reader_that_has_gone_is_no_error(self) -> None:
        def write(content: bytes) -> int:
            raise BrokenPipeError

        output = LogOutput(write, bytearray())
        output.put(LINE)
        output.flush()

        assert output.is_broken

    @pytest.mark.looptime
    async def test_lines_are_written_soon(self) -> None:
        reader = Reader(2_000)
        output = LogOutput(reader.write, bytearray())
        writing = asyncio.create_task(output.run())
        output.put(LINE)
        await asyncio.sleep(0.2)
        first = len(reader.read)
        output.put(LINE)
        await asyncio.sleep(0.2)
        writing.cancel()

        assert (first, len(reader.read)) == (1_000, 2_000)

    @pytest.mark.looptime
    async def test_a_reader_that_stands_still_for_a_while_gets_all_lines(self) -> None:
        reader = Reader(0)
        output = LogOutput(reader.write, bytearray())
        writing = asyncio.create_task(output.run())
        output.put(LINE)
        await asyncio.sleep(5.0)
        reader.room = 1_000
        await asyncio.sleep(0.2)
        writing.cancel()

        assert bytes(reader.read) == LINE

"""Msgpack objects off a stream of bytes, none longer than a limit."""

import asyncio
from typing import Any

import msgpack

from radishmount.codes import Code, Refusal


__all__ = ["MAX_HANDSHAKE_BYTES", "MsgpackReader", "PeerProtocolError"]

MAX_HANDSHAKE_BYTES = 1024
READ_BYTES = 64 * 1024


class PeerProtocolError(Exception):
    """What the other end sent cannot be taken; the stream ends."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal


class MsgpackReader:
    """Takes msgpack objects off a stream, none longer than a limit."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self.bytes_received = 0
        self._unpacker = _unpacker(MAX_HANDSHAKE_BYTES)

    def set_max_object_bytes(self, max_bytes: int) -> None:
        """Allow objects of `max_bytes` from here on."""
        # The first frame may have come in one read with the end of the hello.
        unread = self._unpacker.read_bytes(READ_BYTES + MAX_HANDSHAKE_BYTES)
        self._unpacker = _unpacker(max_bytes)
        self._unpacker.feed(unread)

    async def next(self) -> Any:
        """Return the next object; raise when the stream ends or the object is too long."""
        while True:
            try:
                return next(self._unpacker)
            except StopIteration:
                pass
            except (ValueError, msgpack.UnpackException) as error:
                raise PeerProtocolError(Refusal(Code.BAD_FRAME, detail=repr(error))) from error
            content = await self._reader.read(READ_BYTES)
            if not content:
                raise ConnectionResetError("the stream ended")
            self.bytes_received += len(content)
            try:
                self._unpacker.feed(content)
            except msgpack.BufferFull as error:
                raise PeerProtocolError(Refusal(Code.FRAME_TOO_LARGE)) from error


def _unpacker(max_bytes: int) -> msgpack.Unpacker:
    # Several frames come in one read, so the buffer holds more than the longest of them.
    return msgpack.Unpacker(
        max_buffer_size=max_bytes + READ_BYTES, max_bin_len=max_bytes, max_str_len=max_bytes
    )

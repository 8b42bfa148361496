"""Reads msgpack objects of limited size from a byte stream."""

import asyncio
from typing import Any

import msgpack

from radishmount.codes import Code, Refusal


__all__ = ["MAX_HANDSHAKE_BYTES", "MsgpackReader", "PeerProtocolError"]

MAX_HANDSHAKE_BYTES = 1024
# The list for an array is made before its items have come, so a few nested heads of long arrays
# would take any amount of memory. A handshake has pairs of binary values, and a frame is one.
MAX_ARRAY_ITEMS = 2
READ_BYTES = 64 * 1024


class PeerProtocolError(Exception):
    """The peer violated the protocol; the stream is closed."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal


class MsgpackReader:
    """Reads msgpack objects from a stream, up to a size limit each.

    The limit is `MAX_HANDSHAKE_BYTES` until `set_max_object_bytes` is called.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self.bytes_received = 0
        self._unpacker = _unpacker(MAX_HANDSHAKE_BYTES)

    def set_max_object_bytes(self, max_bytes: int) -> None:
        """Set the size limit for the next objects."""
        # One read may have returned the end of the handshake together with the first frame.
        unread = self._unpacker.read_bytes(READ_BYTES + MAX_HANDSHAKE_BYTES)
        self._unpacker = _unpacker(max_bytes)
        self._unpacker.feed(unread)

    async def next(self) -> Any:
        """Return the next object.

        Raises ConnectionResetError at the end of the stream, and PeerProtocolError if the object is
        invalid or too long.
        """
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
    # One read may return several frames, so the buffer must hold more than the longest frame.
    return msgpack.Unpacker(
        max_buffer_size=max_bytes + READ_BYTES,
        max_bin_len=max_bytes,
        max_str_len=max_bytes,
        max_array_len=MAX_ARRAY_ITEMS,
        max_map_len=0,
        max_ext_len=0,
    )

"""A large body of a response, written in pieces."""

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload


__all__ = ["PiecewiseBody"]

PIECE_BYTES = 65_536


class PiecewiseBody(Payload):
    """A body of which the transport holds one piece at a time, while the client takes it.

    A body that is written as a whole is copied into the transport's buffer with all that the client
    has not taken yet.
    """

    def __init__(self, content: bytes) -> None:
        super().__init__(content)
        self._size = len(content)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return str(self._value, encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the pieces, each once the client has taken most of the one before."""
        content = memoryview(self._value)
        for start in range(0, len(content), PIECE_BYTES):
            await writer.write(content[start : start + PIECE_BYTES])
            await writer.drain()

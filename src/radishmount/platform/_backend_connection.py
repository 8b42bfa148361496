"""One connection to a back end, by the HTTP library's protocol."""

import asyncio
import re
import socket
from dataclasses import dataclass

from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from radishmount.platform._sockets import make_socket


__all__ = ["BackendConnection", "WholeAnswer", "connect_backend"]

KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")
KEEP_ALIVE_MARGIN_S = 0.5  # a request must arrive before the back end's own timer ends
MAX_ANSWER_HEADER_BYTES = 32_768  # twice what callers may send


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer: what the library parsed, and the body."""

    message: RawResponseMessage
    body: bytes


class BackendConnection(ResponseHandler):
    """The library's protocol for answers, which also notes how the connection ended.

    Bytes that come while nothing is asked belong to no request; the connection ends with them.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_busy = False
        self.was_reset = False
        self.usable_until_s = float("inf")
        self.used_at_s = loop.time()

    def data_received(self, data: bytes) -> None:
        """Take bytes of the answer that is waited for."""
        if not self.is_busy:
            self.force_close()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note whether the end was a reset: an answer without a length is then not complete."""
        self.was_reset = exc is not None
        super().connection_lost(exc)

    def is_usable(self, max_idle_s: float) -> bool:
        """Tell whether one more request may be sent over the connection."""
        now_s = self._loop.time()
        if not self.is_connected() or self.should_close:
            return False
        return now_s < self.usable_until_s and now_s - self.used_at_s <= max_idle_s

    async def ask(self, content: bytes, *, has_body: bool) -> WholeAnswer:
        """Send a request and return the whole answer to it; an OSError or ClientError if none."""
        self.is_busy = True
        self.set_response_params(
            skip_payload=not has_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_ANSWER_HEADER_BYTES,
            max_field_size=MAX_ANSWER_HEADER_BYTES,
        )
        if self.transport is None:
            raise ConnectionResetError("the connection ended before the request was sent")
        self.transport.write(content)
        message, payload = await self.read()
        body = await payload.read()
        is_framed = message.chunked or "Content-Length" in message.headers
        if has_body and not is_framed and self.was_reset:
            raise ConnectionResetError("the answer was cut off")
        self.is_busy = False
        self.used_at_s = self._loop.time()
        self._note_keep_alive(message)
        return WholeAnswer(message, body)

    def _note_keep_alive(self, message: RawResponseMessage) -> None:
        found = KEEP_ALIVE_TIMEOUT.search(message.headers.get("Keep-Alive", ""))
        if found is not None:
            self.usable_until_s = self._loop.time() + int(found[1]) - KEEP_ALIVE_MARGIN_S


async def connect_backend(host: str, port: int, timeout_s: float) -> BackendConnection:
    """Return a new connection; an OSError or TimeoutError where there is none in time."""
    loop = asyncio.get_running_loop()
    opened = make_socket((socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP))
    try:
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(opened, (host, port))
            _, protocol = await loop.create_connection(lambda: BackendConnection(loop), sock=opened)
    except BaseException:
        opened.close()
        raise
    return protocol

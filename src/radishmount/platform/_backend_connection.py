"""One HTTP connection to a back end, built on aiohttp's client protocol."""

import asyncio
import re
import socket
from dataclasses import dataclass

from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from radishmount.platform._sockets import make_keepalive_socket


__all__ = ["BackendConnection", "CompleteResponse", "connect_backend"]

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=(\d+)")
KEEP_ALIVE_MARGIN_S = 0.5  # a request must arrive before the back end's keep-alive timer expires
MAX_RESPONSE_HEADER_BYTES = 32_768  # twice the limit for callers


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A response that was received to its end: the parsed head and the body."""

    message: RawResponseMessage
    body: bytes


class BackendConnection(ResponseHandler):
    """aiohttp's response protocol, which also records how the connection ended.

    Bytes that arrive while no request is in flight belong to no response, so they close the
    connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_busy = False
        self.was_reset = False
        self.usable_until_s = float("inf")
        self.last_used_at_s = loop.time()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the pending response; close the connection if there is none."""
        if not self.is_busy:
            self.force_close()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record whether the connection was reset: then a body without a length is incomplete."""
        self.was_reset = exc is not None
        super().connection_lost(exc)

    def is_usable(self, max_idle_s: float) -> bool:
        """Return whether another request may be sent.

        False if the connection is closed, was idle for more than `max_idle_s`, or has reached the
        keep-alive timeout that the back end gave.
        """
        now_s = self._loop.time()
        if not self.is_connected() or self.should_close:
            return False
        return now_s < self.usable_until_s and now_s - self.last_used_at_s <= max_idle_s

    async def send_request(self, content: bytes, *, has_body: bool) -> CompleteResponse:
        """Send an encoded request and return the complete response to it.

        Raises OSError or aiohttp.ClientError if the connection ends before that, and
        HttpProcessingError if the response is not valid HTTP. `has_body` is false for responses
        to HEAD.
        """
        self.is_busy = True
        self.set_response_params(
            skip_payload=not has_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_RESPONSE_HEADER_BYTES,
            max_field_size=MAX_RESPONSE_HEADER_BYTES,
        )
        if self.transport is None:
            raise ConnectionResetError("the connection ended before the request was sent")
        self.transport.write(content)
        message, payload = await self.read()
        body = await payload.read()
        is_framed = message.chunked or "Content-Length" in message.headers
        if has_body and not is_framed and self.was_reset:
            raise ConnectionResetError("the connection was reset before the end of the response")
        self.is_busy = False
        self.last_used_at_s = self._loop.time()
        self._note_keep_alive(message)
        return CompleteResponse(message, body)

    def _note_keep_alive(self, message: RawResponseMessage) -> None:
        found = KEEP_ALIVE_TIMEOUT_PATTERN.search(message.headers.get("Keep-Alive", ""))
        if found is not None:
            self.usable_until_s = self._loop.time() + int(found[1]) - KEEP_ALIVE_MARGIN_S


async def connect_backend(host: str, port: int, timeout_s: float) -> BackendConnection:
    """Open a connection; raise OSError, or TimeoutError after `timeout_s`."""
    loop = asyncio.get_running_loop()
    sock = make_keepalive_socket((socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP))
    try:
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, (host, port))
            _, protocol = await loop.create_connection(lambda: BackendConnection(loop), sock=sock)
    except BaseException:
        sock.close()
        raise
    return protocol

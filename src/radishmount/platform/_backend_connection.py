"""One HTTP connection to a back end, for one request at a time."""

import asyncio
import re
import socket
from math import inf
from typing import cast

from radishmount.client_memory import ResponseAccount, ResponseLimits
from radishmount.platform._backend_response import (
    CompleteResponse,
    ResponseReader,
    ResponseRejectedError,
)
from radishmount.platform._sockets import make_keepalive_socket


__all__ = ["BackendConnection", "connect_backend"]

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=(\d{1,9})")
MS_PER_S = 1000.0
MAX_JOINED_BYTES = 16_384  # of a body that is sent with its head in one call of the kernel
KEEP_ALIVE_MARGIN_S = 0.5  # a request must arrive before the back end's keep-alive timer expires


class BackendConnection(asyncio.Protocol):
    """A connection over which a request is sent once the response to the one before is complete.

    Bytes that arrive while no request is in flight belong to no response, so they close the
    connection. So do bytes beyond the `limits`, framing included.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limits: ResponseLimits | None = None
    ) -> None:
        self._loop = loop
        self._limits = limits or ResponseLimits()
        self._transport: asyncio.Transport | None = None
        self._reader: ResponseReader | None = None
        self._waiter: asyncio.Future[CompleteResponse] | None = None
        self._account: ResponseAccount | None = None
        self._received_bytes = 0
        self._is_reusable = True
        self._usable_until_s = inf
        self.is_busy = False
        self.last_used_at_s = loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of the open connection."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the pending response; close the connection if there is none."""
        reader = self._reader
        if reader is None:
            self.abort()
            return
        self._received_bytes += len(data)
        if self._received_bytes > self._limits.max_response_bytes:
            self._end_exchange(ResponseRejectedError("the response is too long"))
            return
        self._count_held(reader)
        if self._reader is None:
            return  # it has been rejected, as all responses together hold too much
        reader.feed(data)
        if reader.rejection is not None:
            self._end_exchange(ResponseRejectedError(reader.rejection))
        elif reader.response is not None:
            self._end_exchange(None)
        else:
            self._count_held(reader)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the pending exchange; only an orderly end may complete a body without a length."""
        self._transport = None
        reader = self._reader
        if reader is None:
            return
        if exc is None:
            reader.end()
        if reader.response is not None:
            self._end_exchange(None)
        else:
            detail = "reset" if exc is not None else "closed"
            self._end_exchange(
                ConnectionResetError(
                    f"the connection was {detail} before the response was complete"
                )
            )

    def is_usable(self, max_idle_s: float) -> bool:
        """Return whether another request may be sent.

        False if the connection is closed, was idle for more than `max_idle_s`, or has reached the
        keep-alive timeout that the back end gave.
        """
        if self._transport is None or self._transport.is_closing() or not self._is_reusable:
            return False
        now_s = self._loop.time()
        return now_s < self._usable_until_s and now_s - self.last_used_at_s <= max_idle_s

    async def send_request(
        self, head: bytes, body: bytes = b"", *, has_body: bool
    ) -> CompleteResponse:
        """Send an encoded request and return the complete response to it.

        A large body is not copied, but for what the back end does not take at once. Raises OSError
        if the connection ends before that, and ResponseRejectedError if the bytes that come are no
        response or beyond the limits. `has_body` is false for responses to HEAD.
        """
        self.is_busy = True
        if self._transport is None:
            raise ConnectionResetError("the connection ended before the request was sent")
        self._reader = ResponseReader(
            self._limits.max_response_bytes, has_body=has_body, make_body=self._limits.count_body
        )
        self._waiter = self._loop.create_future()
        try:
            if len(body) <= MAX_JOINED_BYTES:
                self._transport.write(head + body)
            else:
                self._transport.write(head)
                self._transport.write(memoryview(body))
            response = await self._waiter
        finally:
            self._release_reader()
        self.is_busy = False
        self.last_used_at_s = self._loop.time()
        return response

    def close(self) -> None:
        """Close the connection after the bytes that were written are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the back end stops its work."""
        if self._transport is not None:
            self._transport.abort()

    def _end_exchange(self, error: Exception | None) -> None:
        """Wake the sender with the complete response, or with `error`."""
        reader, waiter = self._reader, self._waiter
        self._is_reusable = error is None and reader is not None and reader.is_reusable
        if waiter is not None and reader is not None and not waiter.done():
            if reader.response is not None:
                self._note_keep_alive(reader.response)
                waiter.set_result(reader.response)
            else:
                waiter.set_exception(error or ConnectionResetError())
        self._release_reader()
        if error is not None:
            self.abort()
        elif not self._is_reusable:
            self.close()

    def _count_held(self, reader: ResponseReader) -> None:
        """Count what the response takes in memory now; this may reject it, or others."""
        now_ms = self._loop.time() * MS_PER_S
        if self._account is None:
            self._account = self._limits.open(now_ms, self._reject_for_room)
        held_bytes = self._received_bytes + reader.overhead_bytes
        self._limits.update(self._account, held_bytes, now_ms)

    def _reject_for_room(self) -> None:
        self._end_exchange(ResponseRejectedError("all responses together hold too much memory"))

    def _release_reader(self) -> None:
        """Forget the bytes of the response; any that follow belong to none."""
        if self._account is not None:
            self._limits.close(self._account)
            self._account = None
        self._received_bytes = 0
        if self._reader is not None:
            self._reader.close()
        self._reader = None
        self._waiter = None

    def _note_keep_alive(self, response: CompleteResponse) -> None:
        value = response.by_name.get(b"keep-alive")
        found = None if value is None else KEEP_ALIVE_TIMEOUT_PATTERN.search(value)
        if found is not None:
            self._usable_until_s = self._loop.time() + int(found[1]) - KEEP_ALIVE_MARGIN_S


async def connect_backend(
    host: str, port: int, timeout_s: float, limits: ResponseLimits
) -> BackendConnection:
    """Open a connection; raise OSError, or TimeoutError after `timeout_s`."""
    loop = asyncio.get_running_loop()
    sock = make_keepalive_socket((socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP))
    try:
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, (host, port))
            _, protocol = await loop.create_connection(
                lambda: BackendConnection(loop, limits), sock=sock
            )
    except BaseException:
        sock.close()
        raise
    return protocol

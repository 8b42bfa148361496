"""HTTP servers with limits for each connection."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from result import Err, Ok, Result

from radishmount.border._responses import refusal_response
from radishmount.border._settings import SocketAddress
from radishmount.codes import Code, Refusal, RunStatus


__all__ = ["ConnectionLimits", "Server", "send_continue", "serve", "serve_low_level"]

SHUTDOWN_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 60.0
UNREAD_BODY_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 4_000
MAX_HEADER_BYTES = 8_190
HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
HANDLER_OPTIONS: dict[str, Any] = {
    "lingering_time": UNREAD_BODY_TIMEOUT_S,
    "access_log": None,
    "auto_decompress": False,
}


class Server:
    """A running HTTP server; `address` has the port on which it really listens."""

    def __init__(
        self, listening: asyncio.Server, runner: web.BaseRunner, address: SocketAddress
    ) -> None:
        self._listening = listening
        self._runner = runner
        self.address = address

    def abort(self) -> None:
        """Close all connections and listening sockets at once, as a killed process does."""
        for site in list(self._runner.sites):
            server = getattr(site, "_server", None)
            if server is not None:
                server.close()
        for handler in self._runner.server.connections if self._runner.server else ():
            if handler.transport is not None:
                handler.transport.abort()

    async def stop(self) -> None:
        """Stop listening, finish the requests in flight, and close all connections."""
        self._listening.close()
        await self._runner.cleanup()


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The limits for each connection of a client.

    A connection is closed after `idle_timeout_s` without a request. A request is refused if its
    head is not complete within `head_timeout_s` of its first byte, or if a line or header field
    exceeds `max_header_bytes`.
    """

    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_header_bytes: int = MAX_HEADER_BYTES
    head_timeout_s: float = IDLE_TIMEOUT_S


class ClientConnection(web.RequestHandler):
    """One connection of a client; errors that aiohttp detects are answered with a code too."""

    __slots__ = ("_head_timeout_s", "_head_timer")

    def __init__(
        self, manager: web.Server, loop: asyncio.AbstractEventLoop, limits: ConnectionLimits
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            **HANDLER_OPTIONS,
        )
        self._head_timeout_s = limits.head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; the first bytes of a request head start the head timeout."""
        super().data_received(data)
        if self._messages or self._request_in_progress:
            self._stop_head_timer()
        elif self._head_timer is None and self.transport is not None:
            self._head_timer = self._loop.call_later(self._head_timeout_s, self._refuse_slow_head)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer when the connection ends."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_slow_head(self) -> None:
        self._head_timer = None
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(HEAD_TIMEOUT_RESPONSE)
            self.transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to invalid HTTP, or after an unexpected error."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        refusal = Refusal(Code.INTERNAL, detail=type(exc).__name__, ran=RunStatus.UNKNOWN)
        if isinstance(exc, LineTooLong):
            refusal = Refusal(Code.HEADER_TOO_LARGE)
        elif status < 500:
            refusal = Refusal(Code.BAD_HTTP, detail=type(exc).__name__)
        response = refusal_response(refusal, "")
        response.force_close()
        return response


class RejectedConnection(asyncio.Protocol):
    """A connection beyond `MAX_CONNECTIONS`, which is closed at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        transport.close()


async def send_continue(request: web.BaseRequest) -> None:
    """Send `100 Continue` if the client expects it; ignore any other expectation."""
    is_known = request.headers.get("Expect", "").lower() == "100-continue"
    if is_known and request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


async def serve(
    app: web.Application,
    address: SocketAddress,
    *,
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    cancel_on_disconnect: bool = False,
) -> Result[Server, Refusal]:
    """Serve `app` on `address`, or refuse if the address cannot be bound.

    A connection is closed after `idle_timeout_s` without a request. With `cancel_on_disconnect` a
    handler is cancelled when its client closes the connection.
    """
    runner = web.AppRunner(
        app, shutdown_timeout=shutdown_timeout_s, handler_cancellation=cancel_on_disconnect
    )
    return await _listen(runner, address, lambda: ConnectionLimits(idle_timeout_s))


async def serve_low_level(
    manager: web.Server,
    address: SocketAddress,
    *,
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    limits: Callable[[], ConnectionLimits] = ConnectionLimits,
) -> Result[Server, Refusal]:
    """Serve a low-level server of aiohttp, which has no routing; otherwise like `serve`.

    `limits` is called for each new connection.
    """
    runner = web.ServerRunner(manager, shutdown_timeout=shutdown_timeout_s)
    return await _listen(runner, address, limits)


async def _listen(
    runner: web.BaseRunner, address: SocketAddress, limits: Callable[[], ConnectionLimits]
) -> Result[Server, Refusal]:
    loop = asyncio.get_running_loop()
    await runner.setup()
    manager = runner.server
    assert manager is not None

    def connect() -> asyncio.Protocol:
        if len(manager.connections) >= MAX_CONNECTIONS:
            return RejectedConnection()
        return ClientConnection(manager, loop, limits())

    try:
        listening = await loop.create_server(connect, address.host, address.port)
    except OSError as error:
        await runner.cleanup()
        return Err(Refusal(Code.ADDRESS_IN_USE, detail=f"{address}: {error.strerror}"))
    host, port = listening.sockets[0].getsockname()[:2]
    return Ok(Server(listening, runner, SocketAddress(host, port)))

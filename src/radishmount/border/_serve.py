"""HTTP servers with limits for each connection."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from result import Err, Ok, Result

from radishmount.border._responses import refusal_response
from radishmount.border._settings import SocketAddress
from radishmount.codes import Code, Refusal, RunStatus


__all__ = ["ConnectionLimits", "Server", "send_continue", "serve", "serve_low_level"]

SHUTDOWN_TIMEOUT_S = 60.0
ABORT_TIMEOUT_S = 0.1  # for handlers that are cancelled once the time to answer is up
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


@dataclass(slots=True)
class OpenConnections:
    """The connections of one server.

    While the server drains, or `is_leaving` returns true, each closes after its next response.
    """

    is_leaving: Callable[[], bool] = lambda: False
    is_draining: bool = False
    connections: "set[ClientConnection]" = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait_until_none(self) -> None:
        """Wait until no connection is open."""
        while self.connections:
            self.changed.clear()
            await self.changed.wait()


class Server:
    """A running HTTP server; `address` has the port on which it really listens."""

    def __init__(
        self,
        listening: asyncio.Server,
        runner: web.BaseRunner,
        address: SocketAddress,
        open_connections: OpenConnections,
        shutdown_timeout_s: float,
    ) -> None:
        self._listening = listening
        self._runner = runner
        self._open_connections = open_connections
        self._shutdown_timeout_s = shutdown_timeout_s
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

    async def drain(self, timeout_s: float) -> None:
        """Stop listening, and wait until every connection has got its response.

        Idle connections are closed at once. Those on which a request is being read or handled
        go on as before, also while its body is still on the way, for at most `timeout_s`.
        """
        self._listening.close()
        await asyncio.sleep(0.0)  # connections that were accepted just now get their handlers
        self._open_connections.is_draining = True
        for connection in list(self._open_connections.connections):
            connection.close_if_idle()
        try:
            async with asyncio.timeout(timeout_s):
                await self._open_connections.wait_until_none()
        except TimeoutError:
            pass  # `stop` ends what is left

    async def stop(self) -> None:
        """Stop listening, finish the requests in flight, and close all connections."""
        await self.drain(self._shutdown_timeout_s)
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

    __slots__ = ("_head_timeout_s", "_head_timer", "_open_connections")

    def __init__(
        self,
        manager: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: ConnectionLimits,
        open_connections: OpenConnections,
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
        self._open_connections = open_connections

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to those of the server."""
        super().connection_made(transport)
        self._open_connections.connections.add(self)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read, is waiting or is handled."""
        is_reading_head = self._head_timer is not None
        if self._request_in_progress or self._messages or is_reading_head:
            return
        if self._waiter is None or self._waiter.done():
            return  # it is between two requests, and closes after the response to the next one
        self.force_close()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send the response; with the last one before the server stops, the connection ends."""
        is_last = self._open_connections.is_draining or self._open_connections.is_leaving()
        if is_last and not self._messages:
            resp.force_close()
        return await super().finish_response(request, resp, start_time)

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
        self._open_connections.connections.discard(self)
        self._open_connections.changed.set()
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
        app, shutdown_timeout=ABORT_TIMEOUT_S, handler_cancellation=cancel_on_disconnect
    )
    limits = ConnectionLimits(idle_timeout_s)
    return await _listen(runner, address, lambda: limits, shutdown_timeout_s)


async def serve_low_level(
    manager: web.Server,
    address: SocketAddress,
    *,
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    limits: Callable[[], ConnectionLimits] = ConnectionLimits,
    is_leaving: Callable[[], bool] = lambda: False,
) -> Result[Server, Refusal]:
    """Serve a low-level server of aiohttp, which has no routing; otherwise like `serve`.

    `limits` is called for each new connection. While `is_leaving` returns true, connections are
    accepted, and each closes after its next response.
    """
    runner = web.ServerRunner(manager, shutdown_timeout=ABORT_TIMEOUT_S)
    return await _listen(runner, address, limits, shutdown_timeout_s, is_leaving)


async def _listen(
    runner: web.BaseRunner,
    address: SocketAddress,
    limits: Callable[[], ConnectionLimits],
    shutdown_timeout_s: float,
    is_leaving: Callable[[], bool] = lambda: False,
) -> Result[Server, Refusal]:
    loop = asyncio.get_running_loop()
    await runner.setup()
    manager = runner.server
    assert manager is not None
    open_connections = OpenConnections(is_leaving)

    def connect() -> asyncio.Protocol:
        if len(manager.connections) >= MAX_CONNECTIONS:
            return RejectedConnection()
        return ClientConnection(manager, loop, limits(), open_connections)

    try:
        listening = await loop.create_server(connect, address.host, address.port)
    except OSError as error:
        await runner.cleanup()
        return Err(Refusal(Code.ADDRESS_IN_USE, detail=f"{address}: {error.strerror}"))
    host, port = listening.sockets[0].getsockname()[:2]
    server_address = SocketAddress(host, port)
    return Ok(Server(listening, runner, server_address, open_connections, shutdown_timeout_s))

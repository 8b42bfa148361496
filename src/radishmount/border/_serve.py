"""Listening on an address of the settings."""

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


__all__ = ["ConnectionLimits", "Server", "expect_continue", "serve", "serve_low_level"]

SHUTDOWN_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 60.0
UNREAD_BODY_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 4_000
MAX_HEADER_BYTES = 8_190
SLOW_HEAD_ANSWER = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
HANDLER_OPTIONS: dict[str, Any] = {
    "lingering_time": UNREAD_BODY_TIMEOUT_S,
    "access_log": None,
    "auto_decompress": False,
}


class Server:
    """A running HTTP server and the address that it was given."""

    def __init__(
        self, listening: asyncio.Server, runner: web.BaseRunner, address: SocketAddress
    ) -> None:
        self._listening = listening
        self._runner = runner
        self.address = address

    def abort(self) -> None:
        """Close every connection and listening socket at once, as a killed process does."""
        for site in list(self._runner.sites):
            server = getattr(site, "_server", None)
            if server is not None:
                server.close()
        for handler in self._runner.server.connections if self._runner.server else ():
            if handler.transport is not None:
                handler.transport.abort()

    async def stop(self) -> None:
        """Take no new connection, finish the requests in flight, and close."""
        self._listening.close()
        await self._runner.cleanup()


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What a client may do on one connection.

    One that is idle for `idle_timeout_s` is closed. A request head that is begun and not whole
    within `head_timeout_s` is refused, as is a line or field above `max_header_bytes`.
    """

    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_header_bytes: int = MAX_HEADER_BYTES
    head_timeout_s: float = IDLE_TIMEOUT_S


class NumberedHandler(web.RequestHandler):
    """One connection of a client. What the library refuses by itself gets a number too."""

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
        """Take bytes; those that begin a request head start the time in which it must be whole."""
        super().data_received(data)
        if self._messages or self._request_in_progress:
            self._stop_head_timer()
        elif self._head_timer is None and self.transport is not None:
            self._head_timer = self._loop.call_later(self._head_timeout_s, self._refuse_slow_head)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the timer with the connection."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_slow_head(self) -> None:
        self._head_timer = None
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(SLOW_HEAD_ANSWER)
            self.transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request that is not valid HTTP, or that failed unforeseen."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun already")
        refusal = Refusal(Code.INTERNAL, detail=type(exc).__name__, ran=RunStatus.UNKNOWN)
        if isinstance(exc, LineTooLong):
            refusal = Refusal(Code.HEADER_TOO_LARGE)
        elif status < 500:
            refusal = Refusal(Code.BAD_HTTP, detail=type(exc).__name__)
        response = refusal_response(refusal, "")
        response.force_close()
        return response


class CrowdedOut(asyncio.Protocol):
    """One connection above the limit, which is closed at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        transport.close()


async def expect_continue(request: web.BaseRequest) -> None:
    """Ask for the body when the caller waits to be asked; other expectations are overlooked."""
    is_known = request.headers.get("Expect", "").lower() == "100-continue"
    if is_known and request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


async def serve(
    app: web.Application,
    listen: SocketAddress,
    *,
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    cancel_on_disconnect: bool = False,
) -> Result[Server, Refusal]:
    """Serve `app` on `listen`, or tell that the address cannot be bound.

    A connection that is idle for `idle_timeout_s` is closed. With
    `cancel_on_disconnect` a handler is cancelled when its client closes the connection.
    """
    runner = web.AppRunner(
        app, shutdown_timeout=shutdown_timeout_s, handler_cancellation=cancel_on_disconnect
    )
    return await _listen(runner, listen, lambda: ConnectionLimits(idle_timeout_s))


async def serve_low_level(
    manager: web.Server,
    listen: SocketAddress,
    *,
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    limits: Callable[[], ConnectionLimits] = ConnectionLimits,
) -> Result[Server, Refusal]:
    """Serve what needs no routing by path. `limits` is asked for each new connection."""
    runner = web.ServerRunner(manager, shutdown_timeout=shutdown_timeout_s)
    return await _listen(runner, listen, limits)


async def _listen(
    runner: web.BaseRunner, listen: SocketAddress, limits: Callable[[], ConnectionLimits]
) -> Result[Server, Refusal]:
    loop = asyncio.get_running_loop()
    await runner.setup()
    manager = runner.server
    assert manager is not None

    def connect() -> asyncio.Protocol:
        if len(manager.connections) >= MAX_CONNECTIONS:
            return CrowdedOut()
        return NumberedHandler(manager, loop, limits())

    try:
        listening = await loop.create_server(connect, listen.host, listen.port)
    except OSError as error:
        await runner.cleanup()
        return Err(Refusal(Code.ADDRESS_IN_USE, detail=f"{listen}: {error.strerror}"))
    host, port = listening.sockets[0].getsockname()[:2]
    return Ok(Server(listening, runner, SocketAddress(host, port)))

"""HTTP servers with limits for each connection."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web
from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.border._client_connection import (
    IDLE_TIMEOUT_S,
    ClientConnection,
    ConnectionLimits,
    OpenConnections,
)
from radishmount.border._settings import SocketAddress
from radishmount.client_memory import ClientMemory, Port, PortAccount
from radishmount.clock import loop_clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters


__all__ = ["ConnectionLimits", "Server", "send_continue", "serve", "serve_low_level"]

SHUTDOWN_TIMEOUT_S = 60.0
ABORT_TIMEOUT_S = 0.1  # for handlers that are cancelled once the time to answer is up
UNREAD_BODY_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 4_000
HANDLER_OPTIONS: dict[str, Any] = {
    "lingering_time": UNREAD_BODY_TIMEOUT_S,
    "access_log": None,
    "auto_decompress": False,
}


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


class RejectedConnection(asyncio.Protocol):
    """A connection beyond the limits of its port, which is closed at once."""

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
    port_account: PortAccount | None = None,
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    cancel_on_disconnect: bool = False,
) -> Result[Server, Refusal]:
    """Serve `app` on `address`, or refuse if the address cannot be bound.

    `port_account` bounds what is held for clients; by default it is the part of the callers' port
    in a process with the default limits. A connection is closed after `idle_timeout_s`
    without a request. With `cancel_on_disconnect` a
    handler is cancelled when its client closes the connection.
    """
    runner = web.AppRunner(
        app, shutdown_timeout=ABORT_TIMEOUT_S, handler_cancellation=cancel_on_disconnect
    )
    limits = ConnectionLimits(idle_timeout_s)
    return await _listen(runner, address, port_account, lambda: limits, shutdown_timeout_s)


async def serve_low_level(
    manager: web.Server,
    address: SocketAddress,
    *,
    port_account: PortAccount | None = None,
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    limits: Callable[[], ConnectionLimits] = ConnectionLimits,
    is_leaving: Callable[[], bool] = lambda: False,
) -> Result[Server, Refusal]:
    """Serve a low-level server of aiohttp, which has no routing; otherwise like `serve`.

    `limits` is called for each new connection. While `is_leaving` returns true, connections are
    accepted, and each closes after its next response.
    """
    runner = web.ServerRunner(manager, shutdown_timeout=ABORT_TIMEOUT_S)
    return await _listen(runner, address, port_account, limits, shutdown_timeout_s, is_leaving)


async def _listen(
    runner: web.BaseRunner,
    address: SocketAddress,
    port_account: PortAccount | None,
    limits: Callable[[], ConnectionLimits],
    shutdown_timeout_s: float,
    is_leaving: Callable[[], bool] = lambda: False,
) -> Result[Server, Refusal]:
    loop = asyncio.get_running_loop()
    await runner.setup()
    manager = runner.server
    assert manager is not None
    open_connections = OpenConnections(is_leaving)
    account_of_port = port_account or _default_port_account(loop)

    def connect() -> asyncio.Protocol:
        if len(manager.connections) >= MAX_CONNECTIONS:
            return RejectedConnection()
        account = account_of_port.open()
        if account is None:
            return RejectedConnection()
        return ClientConnection(manager, loop, limits(), open_connections, account, HANDLER_OPTIONS)

    try:
        listening = await loop.create_server(connect, address.host, address.port)
    except OSError as error:
        await runner.cleanup()
        return Err(Refusal(Code.ADDRESS_IN_USE, detail=f"{address}: {error.strerror}"))
    host, port = listening.sockets[0].getsockname()[:2]
    server_address = SocketAddress(host, port)
    return Ok(Server(listening, runner, server_address, open_connections, shutdown_timeout_s))


def _default_port_account(loop: asyncio.AbstractEventLoop) -> PortAccount:
    clock = loop_clock(loop)
    return ClientMemory(clock, Counters(), AuditTrail(clock)).by_port[Port.CALLERS]

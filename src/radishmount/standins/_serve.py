"""Serves stand-ins on loopback and keeps track of their open connections."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from radishmount.border import SocketAddress


__all__ = ["Connection", "StandInServer", "serve_stand_in"]

ANY_LOOPBACK_PORT = SocketAddress("127.0.0.1", 0)
SHUTDOWN_TIMEOUT_S = 0.05


@dataclass(slots=True, eq=False)
class Connection:
    """One open connection; `used` becomes true with its first request. Times are monotonic."""

    transport: asyncio.Transport
    opened_at_ms: float
    used: bool = False


class StandInServer:
    """The HTTP server of one stand-in. It can be killed and restarted on the same address.

    A connection beyond `connection_cap` is closed at once and counted in `over_cap`.
    `peak_connections` is the highest number open at one time.
    """

    def __init__(self, runner: web.AppRunner, connection_cap: int | None) -> None:
        self._runner = runner
        self._site: web.TCPSite | None = None
        self._cap = connection_cap
        self._connections_by_handler: dict[object, Connection] = {}
        self.address = ANY_LOOPBACK_PORT
        self.peak_connections = 0
        self.over_cap = 0
        self._track_connections()

    async def listen(self, listen: SocketAddress) -> None:
        """Accept connections on `listen`; port 0 picks a free port. Raises `OSError`."""
        self._site = web.TCPSite(self._runner, listen.host, listen.port)
        await self._site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = SocketAddress(host, port)

    async def kill(self) -> None:
        """Abort every connection and accept none, as when the process is killed."""
        if self._site is not None:
            await self._site.stop()
            self._site = None
        for connection in list(self._connections_by_handler.values()):
            connection.transport.abort()

    async def restart(self) -> None:
        """Accept connections again on the same address."""
        if self._site is None:
            await self.listen(self.address)

    async def stop(self) -> None:
        """Stop serving."""
        await self._runner.cleanup()

    def connection_of(self, request: web.Request) -> Connection | None:
        """Return the connection that `request` came over, or None if it has closed."""
        return self._connections_by_handler.get(request.protocol)

    def _track_connections(self) -> None:
        server = self._runner.server
        assert server is not None
        made: Callable[..., None] = server.connection_made
        lost: Callable[..., None] = server.connection_lost

        def connection_made(handler: web.RequestHandler, transport: asyncio.Transport) -> None:
            now_ms = asyncio.get_running_loop().time() * 1000.0
            self._connections_by_handler[handler] = Connection(transport, now_ms)
            if self._cap is not None and len(self._connections_by_handler) > self._cap:
                self.over_cap += 1
                asyncio.get_running_loop().call_soon(transport.abort)
            self.peak_connections = max(self.peak_connections, len(self._connections_by_handler))
            made(handler, transport)

        def connection_lost(handler: web.RequestHandler, exc: BaseException | None = None) -> None:
            self._connections_by_handler.pop(handler, None)
            lost(handler, exc)

        server.connection_made = connection_made  # type: ignore[method-assign]
        server.connection_lost = connection_lost  # type: ignore[method-assign]


async def serve_stand_in(
    app: web.Application,
    listen: SocketAddress = ANY_LOOPBACK_PORT,
    connection_cap: int | None = None,
) -> StandInServer:
    """Serve `app` on `listen`.

    A handler is cancelled when its connection closes, and stopping does not wait for requests.
    """
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S, handler_cancellation=True
    )
    await runner.setup()
    server = StandInServer(runner, connection_cap)
    await server.listen(listen)
    return server

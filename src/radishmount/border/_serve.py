"""Listening on an address of the settings."""

from aiohttp import web
from result import Err, Ok, Result

from radishmount.border._settings import Listen
from radishmount.codes import Code, Refusal


__all__ = ["Server", "serve"]

SHUTDOWN_TIMEOUT_S = 60.0


class Server:
    """A running HTTP server and the address that it was given."""

    def __init__(self, runner: web.AppRunner, address: Listen) -> None:
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
        await self._runner.cleanup()


async def serve(
    app: web.Application,
    listen: Listen,
    *,
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    cancel_abandoned: bool = False,
) -> Result[Server, Refusal]:
    """Serve `app` on `listen`, or tell that the address cannot be bound.

    With `cancel_abandoned` a handler is cancelled when its client closes the connection.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=shutdown_timeout_s,
        handler_cancellation=cancel_abandoned,
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, listen.host, listen.port)
        await site.start()
    except OSError as error:
        await runner.cleanup()
        return Err(Refusal(Code.ADDRESS_IN_USE, detail=f"{listen}: {error}"))
    host, port = runner.addresses[0][:2]
    return Ok(Server(runner, Listen(host, port)))

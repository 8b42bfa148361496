"""Serving stand-ins on loopback."""

from aiohttp import web

from radishmount.border import Listen, Server, serve


__all__ = ["serve_stand_in"]

FREE_LOOPBACK = Listen("127.0.0.1", 0)
SHUTDOWN_TIMEOUT_S = 0.05


async def serve_stand_in(app: web.Application, listen: Listen = FREE_LOOPBACK) -> Server:
    """Serve `app` on loopback; it notices closed connections and stops at once."""
    served = await serve(app, listen, shutdown_timeout_s=SHUTDOWN_TIMEOUT_S, cancel_abandoned=True)
    return served.unwrap()

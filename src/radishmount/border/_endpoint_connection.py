"""A connection to an endpoint whose close is confirmed by the endpoint."""

import asyncio
import socket
import struct
from typing import Any

import aiohttp


__all__ = ["EndpointConnection"]

CONNECT_TIMEOUT_S = 0.2
CLOSE_TIMEOUT_S = 0.5
KEEP_ALIVE_S = 3600.0
READ_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class EndpointConnection:
    """At most one connection, opened on first use.

    It keeps a duplicate of the socket. After aiohttp has released the connection, even during an
    exchange, `close` can therefore still shut down the sending side and wait until the endpoint
    closes too. Only then has the endpoint freed the connection in its own limit.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._duplicates: list[socket.socket] = []

    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session that uses this connection."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=1,
                    keepalive_timeout=KEEP_ALIVE_S,
                    socket_factory=self._new_socket,
                ),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
            )
        return self._session

    async def close(self) -> bool:
        """Close the connection; return whether the endpoint confirmed it by closing its side."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()
        duplicates, self._duplicates = self._duplicates, []
        closed = [await _close_and_wait(duplicate) for duplicate in duplicates]
        return all(closed)

    def _new_socket(self, address: tuple[Any, ...]) -> socket.socket:
        for duplicate in self._duplicates:
            duplicate.close()
        self._duplicates.clear()
        family, kind, protocol = address[:3]
        sock = socket.socket(family, kind, protocol)
        sock.setblocking(False)
        self._duplicates.append(sock.dup())
        return sock


async def _close_and_wait(duplicate: socket.socket) -> bool:
    loop = asyncio.get_running_loop()
    with duplicate:
        try:
            duplicate.shutdown(socket.SHUT_WR)
        except OSError:
            return True
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                while await loop.sock_recv(duplicate, READ_BYTES):
                    pass
        except TimeoutError:
            duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return False
        except OSError:
            return True
    return True

"""The socket under one connection to an endpoint, closed so that both ends know of it."""

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
    """At most one connection, opened when it is first needed.

    It keeps a second handle on the socket. So after the HTTP library has let go of a connection,
    in the middle of an exchange or not, `close` can still end the stream and wait until the
    endpoint ends its own: only then does the endpoint count one connection less.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._handles: list[socket.socket] = []

    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session over this connection."""
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
        """Close the connection; tell whether the endpoint was seen to close its side."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()
        handles, self._handles = self._handles, []
        closed = [await _close_socket(handle) for handle in handles]
        return all(closed)

    def _new_socket(self, address: tuple[Any, ...]) -> socket.socket:
        for handle in self._handles:
            handle.close()
        self._handles.clear()
        family, kind, protocol = address[:3]
        opened = socket.socket(family, kind, protocol)
        opened.setblocking(False)
        self._handles.append(opened.dup())
        return opened


async def _close_socket(handle: socket.socket) -> bool:
    loop = asyncio.get_running_loop()
    with handle:
        try:
            handle.shutdown(socket.SHUT_WR)
        except OSError:
            return True
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                while await loop.sock_recv(handle, READ_BYTES):
                    pass
        except TimeoutError:
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return False
        except OSError:
            return True
    return True

"""TCP sockets that detect by keep-alive when the other end is gone without closing."""

import socket
from typing import Any


__all__ = ["make_keepalive_socket"]

# One second is the minimum of Linux; with it, a dead connection is found within three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# About ten times the longest retransmission timeout on a working link.
USER_TIMEOUT_MS = 2_500


def make_keepalive_socket(info: tuple[Any, ...]) -> socket.socket:
    """Return a non-blocking TCP socket with keep-alive probes for the address `info`.

    `info` starts with family, type and protocol, as an item of `getaddrinfo` does.
    """
    family, kind, protocol = info[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock

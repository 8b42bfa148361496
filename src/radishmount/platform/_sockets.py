"""Sockets that find out by themselves when the other end is gone without a word."""

import socket
from typing import Any


__all__ = ["make_socket"]

KEEPALIVE_IDLE_S = 1  # the least that the system takes; found dead within three seconds
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
UNACKNOWLEDGED_MS = 2_500  # some ten times the longest retransmission pause on a working link


def make_socket(info: tuple[Any, ...]) -> socket.socket:
    """Return a socket for the address `info`, which keep-alive probes watch while it is idle."""
    family, kind, protocol = info[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened

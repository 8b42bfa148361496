"""Divides the memory and the descriptors for clients among the ports of an instance."""

from dataclasses import dataclass
from enum import StrEnum


__all__ = ["DEFAULT_DESCRIPTORS", "DEFAULT_MEMORY_BYTES", "Port", "PortLimits", "divide_limits"]

DEFAULT_MEMORY_BYTES = 256_000_000
DEFAULT_DESCRIPTORS = 4_096
CLIENT_MEMORY_SHARE = 0.25  # of the memory limit; the program itself and responses need the rest
FILE_DESCRIPTORS = 200  # not available for sockets
CONNECTION_BYTES = 16_384  # the objects of a connection with one usual request
PRESSED_SHARE = 0.5  # of a port's budget
MAX_CONNECTIONS_MEMORY_SHARE = 0.5  # of a port's budget, when all of its connections are idle


class Port(StrEnum):
    """What a port is for."""

    CALLERS = "callers"
    DIRECTORY = "directory"
    READINESS = "readiness"
    OPERATORS = "operators"
    PEERS = "peers"


# Each port has its own part, so that the other ones serve on while one of them is pressed. The
# sockets that are left are for endpoints, the store and streams to peers.
MEMORY_SHARE_BY_PORT = {
    Port.CALLERS: 0.70,
    Port.DIRECTORY: 0.1,
    Port.READINESS: 0.04,
    Port.OPERATORS: 0.04,
    Port.PEERS: 0.12,
}
SOCKET_SHARE_BY_PORT = {
    Port.CALLERS: 0.5,
    Port.DIRECTORY: 0.1,
    Port.READINESS: 0.02,
    Port.OPERATORS: 0.02,
    Port.PEERS: 0.05,
}
MIN_CONNECTIONS = 8


@dataclass(frozen=True, slots=True)
class PortLimits:
    """How many bytes a port may hold for its clients, and how many connections it may have."""

    budget_bytes: int
    max_connections: int

    @property
    def pressed_bytes(self) -> int:
        """Return what a port may hold before reading is limited."""
        return int(PRESSED_SHARE * self.budget_bytes)


def divide_limits(memory_bytes: int, max_descriptors: int) -> dict[Port, PortLimits]:
    """Return the limits of each port of a process with these limits of its own.

    divide_limits(200_000_000, 4_096)[Port.CALLERS].budget_bytes  # 35_000_000
    """
    sockets = max(0, max_descriptors - FILE_DESCRIPTORS)
    limits_by_port = {}
    for port, memory_share in MEMORY_SHARE_BY_PORT.items():
        budget_bytes = int(memory_share * CLIENT_MEMORY_SHARE * memory_bytes)
        by_memory = int(MAX_CONNECTIONS_MEMORY_SHARE * budget_bytes / CONNECTION_BYTES)
        by_sockets = int(SOCKET_SHARE_BY_PORT[port] * sockets)
        max_connections = max(MIN_CONNECTIONS, min(by_memory, by_sockets))
        limits_by_port[port] = PortLimits(budget_bytes, max_connections)
    return limits_by_port

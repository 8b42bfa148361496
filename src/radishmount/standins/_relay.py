"""TCP relays that simulate a network link: they can delay, cut or reset it, and count bytes."""

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum, auto

from radishmount.border import SocketAddress, parse_address


__all__ = ["Relay", "Direction", "start_relay"]

READ_BYTES = 64 * 1024
CUT_POLL_S = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0 s: closing sends a reset


class Direction(Enum):
    """The direction of bytes over a relay."""

    TO_TARGET = auto()
    FROM_TARGET = auto()


@dataclass(slots=True, eq=False)
class RelayedConnection:
    """One relayed connection. Once it is silent, nothing is delivered on it any more."""

    transport: asyncio.WriteTransport
    is_silent: bool = False


@dataclass(slots=True, eq=False)
class Relay:
    """Relays connections to `target`, with a delay of `delay_ms()` in each direction.

    While `is_cut` is set, nothing is delivered on any connection and no connection is refused, as
    when the network drops packets; `cut_direction` cuts one direction only. What was sent meanwhile
    is delivered when the cut ends. `carried_bytes` counts both directions.
    """

    target: SocketAddress
    delay_ms: Callable[[], float]
    address: SocketAddress = SocketAddress("127.0.0.1", 0)
    is_cut: bool = False
    cut_direction: Direction | None = None
    carried_bytes: int = 0
    connections: set[RelayedConnection] = field(default_factory=set)
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def stop(self) -> None:
        """Stop accepting connections, and close the open ones."""
        if self.server is not None:
            self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def silence(self) -> None:
        """Deliver nothing more on the open connections; new connections work."""
        for connection in self.connections:
            connection.is_silent = True

    def reset(self) -> None:
        """Reset the open connections."""
        for connection in list(self.connections):
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.transport.abort()

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start a task that relays one connection."""
        task = asyncio.get_running_loop().create_task(self._relay_connection(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until either end closes it."""
        target_writer: asyncio.StreamWriter | None = None
        connection = RelayedConnection(writer.transport)
        self.connections.add(connection)
        try:
            await self._wait_to_deliver(connection, Direction.TO_TARGET)
            target_reader, target_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
            copy_tasks = [
                asyncio.create_task(
                    self._copy_bytes(connection, Direction.TO_TARGET, reader, target_writer)
                ),
                asyncio.create_task(
                    self._copy_bytes(connection, Direction.FROM_TARGET, target_reader, writer)
                ),
            ]
            try:
                await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in copy_tasks:
                    task.cancel()
                await asyncio.gather(*copy_tasks, return_exceptions=True)
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            for stream in (writer, target_writer):
                if stream is not None:
                    stream.close()

    async def _copy_bytes(
        self,
        connection: RelayedConnection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while content := await reader.read(READ_BYTES):
                await self._wait_to_deliver(connection, direction)
                self.carried_bytes += len(content)
                writer.write(content)
                await writer.drain()
            await self._wait_to_deliver(connection, direction)

    async def _wait_to_deliver(self, connection: RelayedConnection, direction: Direction) -> None:
        await asyncio.sleep(self.delay_ms() / 1000.0)
        while self.is_cut or self.cut_direction is direction or connection.is_silent:
            await asyncio.sleep(CUT_POLL_S)


async def start_relay(target: str, delay_ms: Callable[[], float]) -> Relay:
    """Start a relay to `target` on a free loopback port."""
    relay = Relay(parse_address(target), delay_ms)
    relay.server = await asyncio.start_server(relay.accept, relay.address.host, 0)
    host, port = relay.server.sockets[0].getsockname()[:2]
    relay.address = SocketAddress(host, port)
    return relay

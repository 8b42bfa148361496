"""Links between instances that can be slow or cut, and that count what they carry."""

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum, auto

from radishmount.border import SocketAddress, parse_address


__all__ = ["Relay", "Way", "start_relay"]

READ_BYTES = 64 * 1024
CUT_CHECK_S = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Way(Enum):
    """The direction of bytes over a link."""

    TO_TARGET = auto()
    BACK = auto()


@dataclass(slots=True, eq=False)
class RelayedConnection:
    """One connection that is carried. Once it is silent, nothing arrives on it any more."""

    transport: asyncio.WriteTransport
    is_silent: bool = False


@dataclass(slots=True, eq=False)
class Relay:
    """Carries connections to `target`, each way after a delay.

    While it is cut, nothing arrives on any connection and none is refused, as when packets are
    dropped on the way; `cut_way` cuts one direction only. What was sent meanwhile arrives once the
    link is whole again.
    """

    target: SocketAddress
    delay_ms: Callable[[], float]
    address: SocketAddress = SocketAddress("127.0.0.1", 0)
    is_cut: bool = False
    cut_way: Way | None = None
    carried_bytes: int = 0
    connections: set[RelayedConnection] = field(default_factory=set)
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def stop(self) -> None:
        """Close the link."""
        if self.server is not None:
            self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def silence(self) -> None:
        """Let the connections that are open go silent for good, while new ones work."""
        for connection in self.connections:
            connection.is_silent = True

    def reset(self) -> None:
        """Reset the connections that are open."""
        for connection in list(self.connections):
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.transport.abort()

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start the task of one connection."""
        task = asyncio.get_running_loop().create_task(self._carry(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection until either end closes it."""
        far_writer: asyncio.StreamWriter | None = None
        connection = RelayedConnection(writer.transport)
        self.connections.add(connection)
        try:
            await self._pass(connection, Way.TO_TARGET)
            far_reader, far_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
            pumps = [
                asyncio.create_task(self._pump(connection, Way.TO_TARGET, reader, far_writer)),
                asyncio.create_task(self._pump(connection, Way.BACK, far_reader, writer)),
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
                await asyncio.gather(*pumps, return_exceptions=True)
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            for one in (writer, far_writer):
                if one is not None:
                    one.close()

    async def _pump(
        self,
        connection: RelayedConnection,
        way: Way,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while content := await reader.read(READ_BYTES):
                await self._pass(connection, way)
                self.carried_bytes += len(content)
                writer.write(content)
                await writer.drain()
            await self._pass(connection, way)

    async def _pass(self, connection: RelayedConnection, way: Way) -> None:
        await asyncio.sleep(self.delay_ms() / 1000.0)
        while self.is_cut or self.cut_way is way or connection.is_silent:
            await asyncio.sleep(CUT_CHECK_S)


async def start_relay(target: str, delay_ms: Callable[[], float]) -> Relay:
    """Start a link to `target` on a free port of loopback."""
    relay = Relay(parse_address(target), delay_ms)
    relay.server = await asyncio.start_server(relay.accept, relay.address.host, 0)
    host, port = relay.server.sockets[0].getsockname()[:2]
    relay.address = SocketAddress(host, port)
    return relay

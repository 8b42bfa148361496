"""Peer streams over TCP: the hello of both ends, then sealed msgpack frames."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgpack
from result import Err, Ok, Result

from radishmount.border._msgpack_reader import MsgpackReader, PeerProtocolError
from radishmount.border._peer_codec import MAX_FRAME_BYTES, pack_frame, unpack_frame
from radishmount.border._peer_compression import compress, decompress
from radishmount.border._peer_handshake import (
    HANDSHAKE_TIMEOUT_S,
    HandshakeResult,
    PeerCredentials,
    check_hello,
    say_hello,
)
from radishmount.border._settings import SocketAddress, parse_address
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.fleet import Frame, PeerStream


__all__ = ["PeerCredentials", "PeerServer", "make_peer_opener", "serve_peers"]

MAX_UNSENT_BYTES = 1024 * 1024
MAX_STRANGERS = 64


class TcpPeerStream:
    """One authenticated stream over TCP."""

    def __init__(
        self,
        greeted: HandshakeResult,
        source: MsgpackReader,
        writer: asyncio.StreamWriter,
        counters: Counters,
        cpu_ms: Callable[[], float],
    ) -> None:
        self.peer = greeted.peer
        self._cpu_ms = cpu_ms
        self._source = source
        self._writer = writer
        self._own_seal = greeted.own_seal
        self._peer_seal = greeted.peer_seal
        self._counters = counters
        source.set_max_object_bytes(MAX_FRAME_BYTES)

    def send(self, frame: Frame) -> Result[None, Refusal]:
        """Queue one frame; a peer that leaves too much unread loses the stream."""
        packed = pack_frame(frame)
        if isinstance(packed, Err):
            return packed
        transport = self._writer.transport
        if transport.is_closing():
            return Err(Refusal(Code.PEER_UNREACHABLE, detail=self.peer.name))
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            transport.abort()
            return Err(Refusal(Code.PEER_UNREACHABLE, detail=f"{self.peer.name} does not read"))
        content = msgpack.packb(self._own_seal.sign(compress(packed.ok_value)))
        self._writer.write(content)
        self._counters.add("control_bytes", "peer out", len(content))
        self._counters.add("control_frames", "out")
        return Ok(None)

    async def receive(self) -> Result[Frame, Refusal]:
        """Return the next frame, or why the stream ended."""
        before = self._source.bytes_received
        try:
            sealed = await self._source.next()
        except (ConnectionError, OSError) as error:
            return Err(Refusal(Code.PEER_LOST, detail=repr(error)))
        except PeerProtocolError as error:
            return Err(error.refusal)
        finally:
            self._counters.add("control_bytes", "peer in", self._source.bytes_received - before)
        self._counters.add("control_frames", "in")
        started_ms = self._cpu_ms()
        frame = self._open(sealed)
        self._counters.add("control_cpu_ms", "codec", self._cpu_ms() - started_ms)
        return frame

    def _open(self, sealed: Any) -> Result[Frame, Refusal]:
        if not isinstance(sealed, bytes):
            return Err(Refusal(Code.BAD_FRAME, detail="not sealed"))
        content = self._peer_seal.verify(sealed)
        if content is None:
            return Err(Refusal(Code.STRANGER, detail=f"a frame that {self.peer.name} did not seal"))
        expanded = decompress(content, MAX_FRAME_BYTES)
        return expanded if isinstance(expanded, Err) else unpack_frame(expanded.ok_value)

    async def close(self) -> None:
        """Close the stream."""
        self._writer.close()


def make_peer_opener(
    own: PeerCredentials, counters: Counters
) -> Callable[[str, str], Awaitable[Result[PeerStream, Refusal]]]:
    """Return the function that opens a stream to the instance of a name at an address.

    An empty name takes whichever instance answers there with the right key.
    """

    async def open_peer(name: str, address: str) -> Result[PeerStream, Refusal]:
        listen = parse_address(address)
        writer = None
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(listen.host, listen.port)
                source = MsgpackReader(reader)
                greeted = await say_hello(name, own, source, writer)
                return Ok(TcpPeerStream(greeted, source, writer, counters, own.cpu_ms))
        except PeerProtocolError as error:
            refusal = error.refusal
        except (OSError, TimeoutError) as error:
            refusal = Refusal(Code.PEER_UNREACHABLE, detail=f"{name}: {error!r}")
        if writer is not None:
            writer.close()
        return Err(refusal)

    return open_peer


class PeerServer:
    """Listens for other instances."""

    def __init__(self, server: asyncio.Server, address: SocketAddress, tasks: set[Any]) -> None:
        self._server = server
        self._tasks = tasks
        self.address = address

    async def stop(self) -> None:
        """Take no new stream and end those that are there."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def serve_peers(
    listen: SocketAddress,
    own: PeerCredentials,
    counters: Counters,
    accept: Callable[[PeerStream], Awaitable[None]],
) -> Result[PeerServer, Refusal]:
    """Listen for other instances; a stranger's connection is closed and counted."""
    tasks: set[Any] = set()
    strangers = 0

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal strangers
        task = asyncio.current_task()
        tasks.add(task)
        stream = None
        try:
            if strangers < MAX_STRANGERS:
                strangers += 1
                try:
                    stream = await _take_hello(own, MsgpackReader(reader), writer, counters)
                finally:
                    strangers -= 1
            if stream is None:
                counters.add("peer_strangers")
                return
            await accept(stream)
        except asyncio.CancelledError:
            pass  # the server stops
        finally:
            tasks.discard(task)
            writer.close()

    try:
        server = await asyncio.start_server(take, listen.host, listen.port)
    except OSError as error:
        return Err(Refusal(Code.ADDRESS_IN_USE, detail=f"{listen}: {error}"))
    host, port = server.sockets[0].getsockname()[:2]
    return Ok(PeerServer(server, SocketAddress(host, port), tasks))


async def _take_hello(
    own: PeerCredentials, source: MsgpackReader, writer: asyncio.StreamWriter, counters: Counters
) -> TcpPeerStream | None:
    """Return the stream of an opener that proved who it is, none for a stranger."""
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            greeted = await check_hello(own, source, writer)
    except PeerProtocolError as error:
        counters.add("peer_errors", error.refusal.code.name)
        return None
    except (OSError, TimeoutError):
        counters.add("peer_errors", Code.STRANGER.name)
        return None
    return TcpPeerStream(greeted, source, writer, counters, own.cpu_ms)

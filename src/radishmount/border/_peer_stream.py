"""Peer streams over TCP: a handshake, then msgpack frames with a MAC each."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
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
    accept_handshake,
    initiate_handshake,
)
from radishmount.border._settings import SocketAddress, parse_address
from radishmount.border._shared_reads import SharedReads
from radishmount.client_memory import Activity, PortAccount
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.fleet import Frame, PeerStream


__all__ = ["PeerCredentials", "PeerServer", "make_peer_opener", "serve_peers"]

MAX_UNSENT_BYTES = 1024 * 1024
MAX_PENDING_HANDSHAKES = 64
READ_BYTES = 16 * 1024
HANDSHAKE_BYTES = 48 * 1024  # what a stranger can have under way: two reads and the parser's


class SmallReadsProtocol(asyncio.StreamReaderProtocol, SharedReads):
    """Reads a few kilobytes at a time, so that a stranger's bytes take little memory."""

    read_bytes = READ_BYTES


class TcpPeerStream:
    """One authenticated stream over TCP."""

    def __init__(
        self,
        handshake: HandshakeResult,
        msgpack_reader: MsgpackReader,
        writer: asyncio.StreamWriter,
        counters: Counters,
        credentials: PeerCredentials,
    ) -> None:
        self.peer = handshake.peer
        self._cpu_ms = credentials.cpu_ms
        is_near = handshake.peer.data_centre == credentials.members.own_data_centre
        self._distance = "same data centre" if is_near else "other data centre"
        self._reader = msgpack_reader
        self._writer = writer
        self._send_authenticator = handshake.send_authenticator
        self._receive_authenticator = handshake.receive_authenticator
        self._counters = counters
        msgpack_reader.set_max_object_bytes(MAX_FRAME_BYTES)

    def send(self, frame: Frame) -> Result[None, Refusal]:
        """Queue one frame; abort the stream if too many bytes are still unsent."""
        packed = pack_frame(frame)
        if isinstance(packed, Err):
            return packed
        transport = self._writer.transport
        if transport.is_closing():
            return Err(Refusal(Code.PEER_UNREACHABLE, detail=self.peer.name))
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            transport.abort()
            return Err(Refusal(Code.PEER_UNREACHABLE, detail=f"{self.peer.name} does not read"))
        content = msgpack.packb(self._send_authenticator.sign(compress(packed.ok_value)))
        self._writer.write(content)
        self._counters.add("control_bytes", "peer out", len(content))
        self._counters.add("control_frames", "out")
        kind = type(frame.message).__name__
        self._counters.add("peer_bytes", f"{kind} {self._distance}", len(content))
        return Ok(None)

    async def receive(self) -> Result[Frame, Refusal]:
        """Return the next frame, or why the stream ended."""
        before = self._reader.bytes_received
        try:
            signed = await self._reader.next()
        except (ConnectionError, OSError) as error:
            return Err(Refusal(Code.PEER_LOST, detail=repr(error)))
        except PeerProtocolError as error:
            return Err(error.refusal)
        finally:
            self._counters.add("control_bytes", "peer in", self._reader.bytes_received - before)
        self._counters.add("control_frames", "in")
        started_ms = self._cpu_ms()
        frame = self._decode(signed)
        self._counters.add("control_cpu_ms", "codec", self._cpu_ms() - started_ms)
        return frame

    def _decode(self, signed: Any) -> Result[Frame, Refusal]:
        if not isinstance(signed, bytes):
            return Err(Refusal(Code.BAD_FRAME, detail="the frame is not binary"))
        content = self._receive_authenticator.verify(signed)
        if content is None:
            return Err(
                Refusal(Code.STRANGER, detail=f"a frame from {self.peer.name} has a wrong MAC")
            )
        decompressed = decompress(content, MAX_FRAME_BYTES)
        return (
            decompressed if isinstance(decompressed, Err) else unpack_frame(decompressed.ok_value)
        )

    async def close(self) -> None:
        """Close the stream."""
        self._writer.close()


def make_peer_opener(
    credentials: PeerCredentials, counters: Counters
) -> Callable[[str, str], Awaitable[Result[PeerStream, Refusal]]]:
    """Return a function that opens a stream to the instance with a name at an address.

    An empty name accepts any instance that answers there and holds the key.
    """

    async def open_peer(name: str, address: str) -> Result[PeerStream, Refusal]:
        socket_address = parse_address(address)
        writer = None
        stream = None
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    socket_address.host, socket_address.port
                )
                msgpack_reader = MsgpackReader(reader)
                handshake = await initiate_handshake(name, credentials, msgpack_reader, writer)
                stream = TcpPeerStream(handshake, msgpack_reader, writer, counters, credentials)
                return Ok(stream)
        except PeerProtocolError as error:
            return Err(error.refusal)
        except (OSError, TimeoutError) as error:
            return Err(Refusal(Code.PEER_UNREACHABLE, detail=f"{name}: {error!r}"))
        finally:
            if stream is None and writer is not None:
                writer.close()

    return open_peer


class PeerServer:
    """A running server for streams from other instances."""

    def __init__(self, server: asyncio.Server, address: SocketAddress, tasks: set[Any]) -> None:
        self._server = server
        self._tasks = tasks
        self.address = address

    async def stop(self) -> None:
        """Stop listening and close all streams."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def serve_peers(
    socket_address: SocketAddress,
    credentials: PeerCredentials,
    counters: Counters,
    accept: Callable[[PeerStream], Awaitable[None]],
    port_account: PortAccount | None = None,
) -> Result[PeerServer, Refusal]:
    """Listen for other instances, and run `accept` for each authenticated stream.

    Connections that fail the handshake are closed and counted. `port_account` bounds what is held
    for those that are not authenticated yet.
    """
    tasks: set[Any] = set()
    pending_handshakes = 0

    async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal pending_handshakes
        task = asyncio.current_task()
        tasks.add(task)
        stream = None
        try:
            if pending_handshakes < MAX_PENDING_HANDSHAKES:
                pending_handshakes += 1
                try:
                    with _hold_for_handshake(port_account, writer):
                        stream = await _accept_stream(
                            credentials, MsgpackReader(reader), writer, counters
                        )
                finally:
                    pending_handshakes -= 1
            if stream is None:
                counters.add("peer_strangers")
                return
            await accept(stream)
        except asyncio.CancelledError:
            pass  # the server is stopping
        finally:
            tasks.discard(task)
            writer.close()

    loop = asyncio.get_running_loop()

    def connect() -> asyncio.Protocol:
        return SmallReadsProtocol(asyncio.StreamReader(READ_BYTES, loop), handle_connection, loop)

    try:
        server = await loop.create_server(connect, socket_address.host, socket_address.port)
    except OSError as error:
        return Err(Refusal(Code.ADDRESS_IN_USE, detail=f"{socket_address}: {error}"))
    host, port = server.sockets[0].getsockname()[:2]
    return Ok(PeerServer(server, SocketAddress(host, port), tasks))


@contextmanager
def _hold_for_handshake(
    port_account: PortAccount | None, writer: asyncio.StreamWriter
) -> Iterator[None]:
    """Account for a connection until its handshake has ended; close it if there is no room."""
    account = port_account.open() if port_account is not None else None
    if port_account is None or account is None:
        if port_account is not None:
            writer.transport.abort()
        yield
        return
    account.activity = lambda: Activity.HEAD
    account.evict = lambda code: writer.transport.abort()
    account.hold(HANDSHAKE_BYTES)
    try:
        yield
    finally:
        port_account.close(account)


async def _accept_stream(
    credentials: PeerCredentials,
    msgpack_reader: MsgpackReader,
    writer: asyncio.StreamWriter,
    counters: Counters,
) -> TcpPeerStream | None:
    """Run the handshake with an opener; return its stream, or None if it fails."""
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            handshake = await accept_handshake(credentials, msgpack_reader, writer)
    except PeerProtocolError as error:
        counters.add("peer_errors", error.refusal.code.name)
        return None
    except (OSError, TimeoutError):
        counters.add("peer_errors", Code.STRANGER.name)
        return None
    return TcpPeerStream(handshake, msgpack_reader, writer, counters, credentials)

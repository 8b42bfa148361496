"""Peer streams over TCP: the hello of both ends, then sealed msgpack frames."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgpack
from result import Err, Ok, Result

from radishmount.border._peer_auth import (
    NONCE_BYTES,
    FrameSeal,
    prove,
    same_proof,
    session_key,
)
from radishmount.border._peer_codec import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    pack_frame,
    unpack_frame,
)
from radishmount.border._settings import Listen, split_address
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.fleet import Frame, Members, PeerIdentity, PeerStream


__all__ = ["PeerKey", "PeerServer", "make_open_peer", "serve_peers"]

HELLO_TIMEOUT_S = 1.0
MAX_HELLO_BYTES = 1024
MAX_UNSENT_BYTES = 1024 * 1024
MAX_STRANGERS = 64
READ_BYTES = 64 * 1024
OPENER = "opener"
ACCEPTOR = "acceptor"


@dataclass(frozen=True, slots=True)
class PeerKey:
    """What an end needs for a hello: the key, who it is, and which starts of others it knows.

    `cpu_ms` reads the processor time of this thread, for the count of what control costs.
    """

    key: bytes
    members: Members
    cpu_ms: Callable[[], float] = lambda: 0.0


class HelloFailed(Exception):
    """The other end did not prove who it is."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal


class MsgpackReader:
    """Takes msgpack objects off a stream, none longer than a limit."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self.bytes_in = 0
        self._unpacker = _unpacker(MAX_HELLO_BYTES)

    def limit_to(self, max_bytes: int) -> None:
        """Allow objects of `max_bytes` from here on."""
        # The first frame may have come in one read with the end of the hello.
        unread = self._unpacker.read_bytes(READ_BYTES + MAX_HELLO_BYTES)
        self._unpacker = _unpacker(max_bytes)
        self._unpacker.feed(unread)

    async def next(self) -> Any:
        """Return the next object; raise when the stream ends or the object is too long."""
        while True:
            try:
                return next(self._unpacker)
            except StopIteration:
                pass
            except (ValueError, msgpack.UnpackException) as error:
                raise HelloFailed(Refusal(Code.BAD_FRAME, detail=repr(error))) from error
            content = await self._reader.read(READ_BYTES)
            if not content:
                raise ConnectionResetError("the stream ended")
            self.bytes_in += len(content)
            try:
                self._unpacker.feed(content)
            except msgpack.BufferFull as error:
                raise HelloFailed(Refusal(Code.FRAME_TOO_LARGE)) from error


def _unpacker(max_bytes: int) -> msgpack.Unpacker:
    # Several frames come in one read, so the buffer holds more than the longest of them.
    return msgpack.Unpacker(
        max_buffer_size=max_bytes + READ_BYTES, max_bin_len=max_bytes, max_str_len=max_bytes
    )


class TcpPeerStream:
    """One authenticated stream over TCP."""

    def __init__(
        self,
        peer: PeerIdentity,
        source: MsgpackReader,
        writer: asyncio.StreamWriter,
        seals: tuple[FrameSeal, FrameSeal],
        counters: Counters,
        cpu_ms: Callable[[], float],
    ) -> None:
        self.peer = peer
        self._cpu_ms = cpu_ms
        self._source = source
        self._writer = writer
        self._own_seal, self._peer_seal = seals
        self._counters = counters
        source.limit_to(MAX_FRAME_BYTES)

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
        content = msgpack.packb(self._own_seal.seal(packed.ok_value))
        self._writer.write(content)
        self._counters.add("control_bytes", "peer out", len(content))
        return Ok(None)

    async def receive(self) -> Result[Frame, Refusal]:
        """Return the next frame, or why the stream ended."""
        before = self._source.bytes_in
        try:
            sealed = await self._source.next()
        except (ConnectionError, OSError) as error:
            return Err(Refusal(Code.PEER_LOST, detail=repr(error)))
        except HelloFailed as error:
            return Err(error.refusal)
        finally:
            self._counters.add("control_bytes", "peer in", self._source.bytes_in - before)
        started_ms = self._cpu_ms()
        frame = self._open(sealed)
        self._counters.add("control_cpu_ms", "codec", self._cpu_ms() - started_ms)
        return frame

    def _open(self, sealed: Any) -> Result[Frame, Refusal]:
        if not isinstance(sealed, bytes):
            return Err(Refusal(Code.BAD_FRAME, detail="not sealed"))
        content = self._peer_seal.open(sealed)
        if content is None:
            return Err(Refusal(Code.STRANGER, detail=f"a frame that {self.peer.name} did not seal"))
        return unpack_frame(content)

    async def close(self) -> None:
        """Close the stream."""
        self._writer.close()


def make_open_peer(
    own: PeerKey, counters: Counters
) -> Callable[[str, str], Awaitable[Result[PeerStream, Refusal]]]:
    """Return the function that opens a stream to the instance of a name at an address.

    An empty name takes whichever instance answers there with the right key.
    """

    async def open_peer(name: str, address: str) -> Result[PeerStream, Refusal]:
        listen = split_address(address)
        writer = None
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(listen.host, listen.port)
                return Ok(await _say_hello(name, own, MsgpackReader(reader), writer, counters))
        except HelloFailed as error:
            refusal = error.refusal
        except (OSError, TimeoutError) as error:
            refusal = Refusal(Code.PEER_UNREACHABLE, detail=f"{name}: {error!r}")
        if writer is not None:
            writer.close()
        return Err(refusal)

    return open_peer


class PeerServer:
    """Listens for other instances."""

    def __init__(self, server: asyncio.Server, address: Listen, tasks: set[Any]) -> None:
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
    listen: Listen,
    own: PeerKey,
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
    return Ok(PeerServer(server, Listen(host, port), tasks))


async def _say_hello(
    name: str,
    own: PeerKey,
    source: MsgpackReader,
    writer: asyncio.StreamWriter,
    counters: Counters,
) -> TcpPeerStream:
    """Prove to the acceptor who this is, and have it prove the same."""
    identity = own.members.identity()
    theirs = _nonce(await source.next())
    ours = secrets.token_bytes(NONCE_BYTES)
    hello = msgpack.packb(
        [
            PROTOCOL_VERSION,
            identity.name,
            identity.data_centre,
            identity.incarnation,
            name,
            own.members.known_incarnation(name),
            ours,
        ]
    )
    opening = theirs + hello
    writer.write(msgpack.packb([hello, prove(own.key, OPENER, opening)]))
    welcome, proof = _pair(await source.next())
    transcript = opening + welcome
    if not same_proof(proof, prove(own.key, ACCEPTOR, transcript)):
        raise HelloFailed(Refusal(Code.STRANGER, detail=name))
    peer, known = _welcomed(welcome)
    if name and peer.name != name:
        raise HelloFailed(Refusal(Code.STRANGER, detail=f"{peer.name} in place of {name}"))
    if known > identity.incarnation:
        own.members.was_reborn(known)
        raise HelloFailed(Refusal(Code.OLD_INCARNATION, detail=f"{name} knows {known}"))
    seals = _seals(own.key, OPENER, ACCEPTOR, transcript)
    return TcpPeerStream(peer, source, writer, seals, counters, own.cpu_ms)


async def _take_hello(
    own: PeerKey, source: MsgpackReader, writer: asyncio.StreamWriter, counters: Counters
) -> TcpPeerStream | None:
    """Return the stream of an opener that proved who it is, none for a stranger."""
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            return await _check_hello(own, source, writer, counters)
    except HelloFailed as error:
        counters.add("peer_errors", error.refusal.code.name)
    except (OSError, TimeoutError):
        counters.add("peer_errors", Code.STRANGER.name)
    return None


async def _check_hello(
    own: PeerKey, source: MsgpackReader, writer: asyncio.StreamWriter, counters: Counters
) -> TcpPeerStream:
    ours = secrets.token_bytes(NONCE_BYTES)
    writer.write(msgpack.packb(ours))
    hello, proof = _pair(await source.next())
    opening = ours + hello
    if not same_proof(proof, prove(own.key, OPENER, opening)):
        raise HelloFailed(Refusal(Code.STRANGER))
    peer, known = _greeted(hello, own.members.identity().name)
    known_of_peer = own.members.known_incarnation(peer.name)
    if known > own.members.identity().incarnation:
        own.members.was_reborn(known)
    identity = own.members.identity()
    welcome = msgpack.packb(
        [identity.name, identity.data_centre, identity.incarnation, known_of_peer]
    )
    transcript = opening + welcome
    writer.write(msgpack.packb([welcome, prove(own.key, ACCEPTOR, transcript)]))
    if known_of_peer > peer.incarnation:
        raise HelloFailed(Refusal(Code.OLD_INCARNATION, detail=peer.name))
    seals = _seals(own.key, ACCEPTOR, OPENER, transcript)
    return TcpPeerStream(peer, source, writer, seals, counters, own.cpu_ms)


def _seals(
    key: bytes, own_role: str, peer_role: str, transcript: bytes
) -> tuple[FrameSeal, FrameSeal]:
    own = FrameSeal(session_key(key, own_role, transcript))
    return own, FrameSeal(session_key(key, peer_role, transcript))


def _nonce(value: object) -> bytes:
    if not isinstance(value, bytes) or len(value) != NONCE_BYTES:
        raise HelloFailed(Refusal(Code.BAD_FRAME, detail="no nonce"))
    return value


def _pair(value: object) -> tuple[bytes, bytes]:
    match value:
        case [bytes() as content, bytes() as proof]:
            return content, proof
    raise HelloFailed(Refusal(Code.BAD_FRAME, detail="no hello"))


def _greeted(hello: bytes, own_name: str) -> tuple[PeerIdentity, int]:
    """Return who opened the stream, and the latest start of this instance that it knows."""
    match msgpack.unpackb(hello):
        case [
            int() as protocol,
            str() as name,
            str() as centre,
            int() as started,
            wanted,
            known,
            _,
        ]:
            pass
        case _:
            raise HelloFailed(Refusal(Code.BAD_FRAME, detail="no hello"))
    if protocol != PROTOCOL_VERSION:
        raise HelloFailed(Refusal(Code.BAD_FRAME, detail=f"protocol {protocol}"))
    if wanted not in ("", own_name) or name == own_name or not isinstance(known, int):
        raise HelloFailed(Refusal(Code.STRANGER, detail=f"{name} wants {wanted}"))
    return PeerIdentity(name, centre, started), known


def _welcomed(welcome: bytes) -> tuple[PeerIdentity, int]:
    match msgpack.unpackb(welcome):
        case [str() as name, str() as data_centre, int() as started, int() as known]:
            return PeerIdentity(name, data_centre, started), known
    raise HelloFailed(Refusal(Code.BAD_FRAME, detail="no welcome"))

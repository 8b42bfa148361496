"""The hello of two instances: each proves that it holds the key before it is told anything."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import msgpack

from radishmount.border._msgpack_reader import MsgpackReader, PeerProtocolError
from radishmount.border._peer_auth import (
    NONCE_BYTES,
    FrameAuthenticator,
    prove,
    same_proof,
    session_key,
)
from radishmount.border._peer_codec import PROTOCOL_VERSION
from radishmount.codes import Code, Refusal
from radishmount.fleet import MemberTable, PeerIdentity


__all__ = ["HANDSHAKE_TIMEOUT_S", "HandshakeResult", "PeerCredentials", "check_hello", "say_hello"]

HANDSHAKE_TIMEOUT_S = 1.0
OPENER = "opener"
ACCEPTOR = "acceptor"


@dataclass(frozen=True, slots=True)
class PeerCredentials:
    """What an end needs for a hello: the key, who it is, and which starts of others it knows.

    `cpu_ms` reads the processor time of this thread, for the count of what control costs.
    """

    key: bytes
    members: MemberTable
    cpu_ms: Callable[[], float] = lambda: 0.0


@dataclass(frozen=True, slots=True)
class HandshakeResult:
    """The other end of a stream after the hello, and the seals of both directions."""

    peer: PeerIdentity
    own_seal: FrameAuthenticator
    peer_seal: FrameAuthenticator


async def say_hello(
    name: str, own: PeerCredentials, source: MsgpackReader, writer: asyncio.StreamWriter
) -> HandshakeResult:
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
        raise PeerProtocolError(Refusal(Code.STRANGER, detail=name))
    peer, known = _welcomed(welcome)
    if name and peer.name != name:
        raise PeerProtocolError(Refusal(Code.STRANGER, detail=f"{peer.name} in place of {name}"))
    if known > identity.incarnation:
        own.members.raise_incarnation_above(known)
        raise PeerProtocolError(Refusal(Code.OLD_INCARNATION, detail=f"{name} knows {known}"))
    return _greeted(own.key, peer, OPENER, ACCEPTOR, transcript)


async def check_hello(
    own: PeerCredentials, source: MsgpackReader, writer: asyncio.StreamWriter
) -> HandshakeResult:
    """Have the opener prove who it is, and only then prove the same to it."""
    ours = secrets.token_bytes(NONCE_BYTES)
    writer.write(msgpack.packb(ours))
    hello, proof = _pair(await source.next())
    opening = ours + hello
    if not same_proof(proof, prove(own.key, OPENER, opening)):
        raise PeerProtocolError(Refusal(Code.STRANGER))
    peer, known = _opener_of(hello, own.members.identity().name)
    known_of_peer = own.members.known_incarnation(peer.name)
    if known > own.members.identity().incarnation:
        own.members.raise_incarnation_above(known)
    identity = own.members.identity()
    welcome = msgpack.packb(
        [identity.name, identity.data_centre, identity.incarnation, known_of_peer]
    )
    transcript = opening + welcome
    writer.write(msgpack.packb([welcome, prove(own.key, ACCEPTOR, transcript)]))
    if known_of_peer > peer.incarnation:
        raise PeerProtocolError(Refusal(Code.OLD_INCARNATION, detail=peer.name))
    return _greeted(own.key, peer, ACCEPTOR, OPENER, transcript)


def _greeted(
    key: bytes, peer: PeerIdentity, own_role: str, peer_role: str, transcript: bytes
) -> HandshakeResult:
    return HandshakeResult(
        peer=peer,
        own_seal=FrameAuthenticator(session_key(key, own_role, transcript)),
        peer_seal=FrameAuthenticator(session_key(key, peer_role, transcript)),
    )


def _nonce(value: object) -> bytes:
    if not isinstance(value, bytes) or len(value) != NONCE_BYTES:
        raise PeerProtocolError(Refusal(Code.BAD_FRAME, detail="no nonce"))
    return value


def _pair(value: object) -> tuple[bytes, bytes]:
    match value:
        case [bytes() as content, bytes() as proof]:
            return content, proof
    raise PeerProtocolError(Refusal(Code.BAD_FRAME, detail="no hello"))


def _opener_of(hello: bytes, own_name: str) -> tuple[PeerIdentity, int]:
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
            raise PeerProtocolError(Refusal(Code.BAD_FRAME, detail="no hello"))
    if protocol != PROTOCOL_VERSION:
        raise PeerProtocolError(Refusal(Code.BAD_FRAME, detail=f"protocol {protocol}"))
    if wanted not in ("", own_name) or name == own_name or not isinstance(known, int):
        raise PeerProtocolError(Refusal(Code.STRANGER, detail=f"{name} wants {wanted}"))
    return PeerIdentity(name, centre, started), known


def _welcomed(welcome: bytes) -> tuple[PeerIdentity, int]:
    match msgpack.unpackb(welcome):
        case [str() as name, str() as data_centre, int() as started, int() as known]:
            return PeerIdentity(name, data_centre, started), known
    raise PeerProtocolError(Refusal(Code.BAD_FRAME, detail="no welcome"))

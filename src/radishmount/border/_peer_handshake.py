"""The handshake of two instances, in which each proves that it holds the shared key.

The acceptor sends a nonce. The opener answers with its hello and a proof, and the acceptor with its
own hello and proof. Neither end sends a frame before it has checked the proof of the other.
"""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import msgpack

from radishmount.border._msgpack_reader import MsgpackReader, PeerProtocolError
from radishmount.border._peer_auth import (
    NONCE_BYTES,
    FrameAuthenticator,
    derive_frame_key,
    make_proof,
    proof_matches,
)
from radishmount.border._peer_codec import PROTOCOL_VERSION
from radishmount.codes import Code, Refusal
from radishmount.fleet import MemberTable, PeerIdentity


__all__ = [
    "HANDSHAKE_TIMEOUT_S",
    "HandshakeResult",
    "PeerCredentials",
    "accept_handshake",
    "initiate_handshake",
]

HANDSHAKE_TIMEOUT_S = 1.0
OPENER = "opener"
ACCEPTOR = "acceptor"


@dataclass(frozen=True, slots=True)
class PeerCredentials:
    """What an end needs for a handshake.

    `key` is the shared key. `members` knows the identity of this instance, and the incarnations of
    the others. `cpu_ms` returns the CPU time of this thread in milliseconds; it measures the cost
    of the control plane.
    """

    key: bytes
    members: MemberTable
    cpu_ms: Callable[[], float] = lambda: 0.0


@dataclass(frozen=True, slots=True)
class HandshakeResult:
    """The identity of the peer, and the authenticators for sent and received frames."""

    peer: PeerIdentity
    send_authenticator: FrameAuthenticator
    receive_authenticator: FrameAuthenticator


async def initiate_handshake(
    name: str, credentials: PeerCredentials, reader: MsgpackReader, writer: asyncio.StreamWriter
) -> HandshakeResult:
    """Run the handshake as the opener of a stream to the instance `name`.

    An empty `name` accepts any instance that holds the key. Raises PeerProtocolError if the
    handshake fails, and OSError if the stream ends.
    """
    identity = credentials.members.identity()
    peer_nonce = _parse_nonce(await reader.next())
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    opener_hello = msgpack.packb(
        [
            PROTOCOL_VERSION,
            identity.name,
            identity.data_centre,
            identity.incarnation,
            name,
            credentials.members.known_incarnation(name),
            own_nonce,
        ]
    )
    opener_transcript = peer_nonce + opener_hello
    writer.write(
        msgpack.packb([opener_hello, make_proof(credentials.key, OPENER, opener_transcript)])
    )
    acceptor_hello, proof = _parse_message_with_proof(await reader.next())
    transcript = opener_transcript + acceptor_hello
    if not proof_matches(proof, make_proof(credentials.key, ACCEPTOR, transcript)):
        raise PeerProtocolError(Refusal(Code.STRANGER, detail=name))
    peer, own_known_incarnation = _parse_acceptor_hello(acceptor_hello)
    if name and peer.name != name:
        raise PeerProtocolError(
            Refusal(Code.STRANGER, detail=f"{peer.name} answered instead of {name}")
        )
    if own_known_incarnation > identity.incarnation:
        credentials.members.raise_incarnation_above(own_known_incarnation)
        raise PeerProtocolError(
            Refusal(
                Code.OLD_INCARNATION,
                detail=f"{name} knows the incarnation {own_known_incarnation} of this instance",
            )
        )
    return _make_result(credentials.key, peer, OPENER, ACCEPTOR, transcript)


async def accept_handshake(
    credentials: PeerCredentials, reader: MsgpackReader, writer: asyncio.StreamWriter
) -> HandshakeResult:
    """Run the handshake as the acceptor; the opener has to prove its identity first.

    Raises PeerProtocolError if the handshake fails, and OSError if the stream ends.
    """
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(msgpack.packb(own_nonce))
    opener_hello, proof = _parse_message_with_proof(await reader.next())
    opener_transcript = own_nonce + opener_hello
    if not proof_matches(proof, make_proof(credentials.key, OPENER, opener_transcript)):
        raise PeerProtocolError(Refusal(Code.STRANGER))
    peer, own_known_incarnation = _parse_opener_hello(
        opener_hello, credentials.members.identity().name
    )
    peer_known_incarnation = credentials.members.known_incarnation(peer.name)
    if own_known_incarnation > credentials.members.identity().incarnation:
        credentials.members.raise_incarnation_above(own_known_incarnation)
    identity = credentials.members.identity()
    acceptor_hello = msgpack.packb(
        [identity.name, identity.data_centre, identity.incarnation, peer_known_incarnation]
    )
    transcript = opener_transcript + acceptor_hello
    writer.write(msgpack.packb([acceptor_hello, make_proof(credentials.key, ACCEPTOR, transcript)]))
    if peer_known_incarnation > peer.incarnation:
        raise PeerProtocolError(Refusal(Code.OLD_INCARNATION, detail=peer.name))
    return _make_result(credentials.key, peer, ACCEPTOR, OPENER, transcript)


def _make_result(
    key: bytes, peer: PeerIdentity, own_role: str, peer_role: str, transcript: bytes
) -> HandshakeResult:
    return HandshakeResult(
        peer=peer,
        send_authenticator=FrameAuthenticator(derive_frame_key(key, own_role, transcript)),
        receive_authenticator=FrameAuthenticator(derive_frame_key(key, peer_role, transcript)),
    )


def _parse_nonce(value: object) -> bytes:
    if not isinstance(value, bytes) or len(value) != NONCE_BYTES:
        raise PeerProtocolError(Refusal(Code.BAD_FRAME, detail="expected a nonce"))
    return value


def _parse_message_with_proof(value: object) -> tuple[bytes, bytes]:
    match value:
        case [bytes() as content, bytes() as proof]:
            return content, proof
    raise PeerProtocolError(Refusal(Code.BAD_FRAME, detail="expected a hello with a proof"))


def _unpack(hello: bytes) -> object:
    """Return the value of a hello; raise PeerProtocolError if it is not msgpack."""
    try:
        return msgpack.unpackb(hello)
    except (ValueError, msgpack.UnpackException) as error:
        raise PeerProtocolError(Refusal(Code.BAD_FRAME, detail=repr(error))) from error


def _parse_opener_hello(opener_hello: bytes, own_name: str) -> tuple[PeerIdentity, int]:
    """Return the identity of the opener, and the incarnation of this instance known to it."""
    match _unpack(opener_hello):
        case [
            int() as protocol,
            str() as name,
            str() as data_centre,
            int() as incarnation,
            wanted,
            own_known_incarnation,
            _,
        ]:
            pass
        case _:
            raise PeerProtocolError(
                Refusal(Code.BAD_FRAME, detail="expected a hello of the opener")
            )
    if protocol != PROTOCOL_VERSION:
        raise PeerProtocolError(
            Refusal(Code.BAD_FRAME, detail=f"unknown protocol version {protocol}")
        )
    if (
        wanted not in ("", own_name)
        or name == own_name
        or not isinstance(own_known_incarnation, int)
    ):
        raise PeerProtocolError(Refusal(Code.STRANGER, detail=f"{name} expects {wanted}"))
    return PeerIdentity(name, data_centre, incarnation), own_known_incarnation


def _parse_acceptor_hello(acceptor_hello: bytes) -> tuple[PeerIdentity, int]:
    match _unpack(acceptor_hello):
        case [
            str() as name,
            str() as data_centre,
            int() as incarnation,
            int() as own_known_incarnation,
        ]:
            return PeerIdentity(name, data_centre, incarnation), own_known_incarnation
    raise PeerProtocolError(Refusal(Code.BAD_FRAME, detail="expected the hello of the acceptor"))

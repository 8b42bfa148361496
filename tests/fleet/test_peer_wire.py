"""Tests of the peer protocol: size limits, frame authentication, compression and models."""

import asyncio
from dataclasses import fields

import msgpack
import pytest
from result import Ok

from radishmount.border import (
    ENDPOINT_PEER_MODELS,
    PeerCredentials,
    make_peer_opener,
    pack_frame,
    register_peer_models,
    unpack_frame,
)
from radishmount.border._msgpack_reader import MAX_HANDSHAKE_BYTES, MsgpackReader, PeerProtocolError
from radishmount.border._peer_auth import FrameAuthenticator, make_proof
from radishmount.border._peer_codec import MODELS_BY_KIND
from radishmount.border._peer_compression import compress, decompress
from radishmount.border._peer_handshake import OPENER, accept_handshake
from radishmount.codes import Code
from radishmount.counters import Counters
from radishmount.discovery import EndpointPage, StoreNews
from radishmount.fleet import EndpointChanges, Notice, PaceNews, PeerIdentity


KEY = b"k" * 32


class TestMsgpackReader:
    """Objects are read whole from the stream, and none exceeds the size limit."""

    async def test_bytes_that_arrive_with_the_hello_are_kept(self) -> None:
        stream = asyncio.StreamReader()
        reader = MsgpackReader(stream)
        stream.feed_data(msgpack.packb(b"hello") + msgpack.packb(b"frame one")[:4])
        first = await reader.next()
        reader.set_max_object_bytes(1000)
        stream.feed_data(msgpack.packb(b"frame one")[4:])

        assert (first, await reader.next()) == (b"hello", b"frame one")

    async def test_an_object_above_the_limit_ends_the_stream(self) -> None:
        stream = asyncio.StreamReader()
        stream.feed_data(msgpack.packb(b"x" * (MAX_HANDSHAKE_BYTES + 1)))

        with pytest.raises(PeerProtocolError):
            await MsgpackReader(stream).next()

    async def test_an_object_without_end_is_refused_before_it_fills_memory(self) -> None:
        stream = asyncio.StreamReader()
        reader = MsgpackReader(stream)
        stream.feed_data(b"\x91" * 1_000_000)

        with pytest.raises(PeerProtocolError) as raised:
            await reader.next()
        assert raised.value.refusal.code in (Code.BAD_FRAME, Code.FRAME_TOO_LARGE)


class TestFrameAuthenticator:
    """A frame is accepted only unchanged and at its place in the sequence."""

    def test_frames_are_accepted_in_order(self) -> None:
        sender, receiver = FrameAuthenticator(KEY), FrameAuthenticator(KEY)

        assert receiver.verify(sender.sign(b"one")) == b"one"
        assert receiver.verify(sender.sign(b"two")) == b"two"

    def test_a_repeated_frame_is_refused(self) -> None:
        sender, receiver = FrameAuthenticator(KEY), FrameAuthenticator(KEY)
        signed = sender.sign(b"one")
        receiver.verify(signed)

        assert receiver.verify(signed) is None

    def test_a_frame_after_a_lost_one_is_refused(self) -> None:
        sender, receiver = FrameAuthenticator(KEY), FrameAuthenticator(KEY)
        sender.sign(b"lost")

        assert receiver.verify(sender.sign(b"two")) is None

    @pytest.mark.parametrize("index", [0, 7, 8, 10])
    def test_a_changed_frame_is_refused(self, index: int) -> None:
        signed = bytearray(FrameAuthenticator(KEY).sign(b"one"))
        signed[index] ^= 1

        assert FrameAuthenticator(KEY).verify(bytes(signed)) is None


class TestCompression:
    """Long frames are compressed, and decompress to no more than allowed."""

    @pytest.mark.parametrize("size", [0, 1, 1023, 1024, 60_000])
    def test_decompression_returns_the_original(self, size: int) -> None:
        content = b"radishmount " * (size // 12) + b"x" * (size % 12)

        assert decompress(compress(content), 100_000) == Ok(content)

    def test_a_long_frame_is_shorter_when_compressed(self) -> None:
        assert len(compress(b"radishmount " * 5_000)) < 1_000

    def test_decompression_stops_at_the_limit(self) -> None:
        refusal = decompress(compress(b"x" * 10_000_000), 100_000).unwrap_err()

        assert refusal.code is Code.FRAME_TOO_LARGE

    @pytest.mark.parametrize("content", [b"", b"\x02abc", b"\x01abc", compress(b"x" * 5_000)[:-3]])
    def test_invalid_content_is_refused(self, content: bytes) -> None:
        assert decompress(content, 100_000).is_err()


class TestPeerModels:
    """Each model has the fields of its data class, in the same order."""

    @pytest.mark.parametrize("kind", sorted(MODELS_BY_KIND))
    def test_fields_match(self, kind: str) -> None:
        model = MODELS_BY_KIND[kind]

        assert list(model.model_fields) == [field.name for field in fields(model.data_type)]


class TestNamesOfEndpoints:
    """Names may be as long in every message as in published objects."""

    @pytest.mark.parametrize(
        "message",
        [
            EndpointPage(1, (), False, ("e" * 200,)),
            StoreNews(1, 2, removed=("e" * 200,), missing=("e" * 200,)),
            PaceNews("entry-a", 1, ("e" * 200,), (180,), True),
            EndpointChanges(("e" * 200,)),
        ],
    )
    def test_a_frame_with_a_long_name_is_read(self, message: object) -> None:
        register_peer_models(*ENDPOINT_PEER_MODELS)
        packed = pack_frame(Notice(message)).ok_value

        assert unpack_frame(packed) == Ok(Notice(message))


class HandshakeMembers:
    """What a handshake needs to know of the fleet."""

    own_data_centre = "milano"

    def identity(self) -> PeerIdentity:
        return PeerIdentity("entry-a", "milano", 1)

    def known_incarnation(self, name: str) -> int:
        return 0


class WrittenBytes:
    """Keeps what a handshake writes."""

    def __init__(self) -> None:
        self.content = b""

    def write(self, content: bytes) -> None:
        self.content += content


class TestHello:
    """A holder of the key may have a fault, and must not end anything but its own stream."""

    @pytest.mark.parametrize("hello", [b"", b"\xc1", b"\x92\x01", b"\x01\x02", b"\xd9\x01\xff"])
    async def test_a_hello_that_is_no_msgpack_is_refused(self, hello: bytes) -> None:
        credentials = PeerCredentials(KEY, HandshakeMembers(), lambda: 0.0)
        stream, written = asyncio.StreamReader(), WrittenBytes()
        accepting = asyncio.create_task(
            accept_handshake(credentials, MsgpackReader(stream), written)
        )
        await asyncio.sleep(0)
        nonce = msgpack.unpackb(written.content)
        proof = make_proof(KEY, OPENER, nonce + hello)
        stream.feed_data(msgpack.packb([hello, proof]))

        with pytest.raises(PeerProtocolError) as raised:
            await accepting
        assert raised.value.refusal.code is Code.BAD_FRAME

    async def test_a_stream_that_is_not_wanted_any_more_is_closed(self) -> None:
        """An opener that is cancelled in the handshake would keep its connection for good."""
        accepted = asyncio.Event()
        ended = asyncio.Event()

        async def stay_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            accepted.set()
            await reader.read()
            ended.set()
            writer.close()

        server = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        credentials = PeerCredentials(KEY, HandshakeMembers(), lambda: 0.0)
        open_peer = make_peer_opener(credentials, Counters())
        opening = asyncio.create_task(open_peer("entry-b", f"127.0.0.1:{port}"))
        await accepted.wait()
        opening.cancel()
        async with asyncio.timeout(10.0):
            await ended.wait()
        server.close()

"""Tests of requests between instances, over fake streams and over TCP."""

import asyncio
from random import Random
from typing import Any

import pytest
from result import Err, Ok, Result

from fakes import virtual_clock
from peer_fakes import FakeNetwork
from radishmount.border import (
    PeerCredentials,
    PeerServer,
    SocketAddress,
    make_peer_opener,
    serve_peers,
)
from radishmount.clock import loop_clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.counters import Counters
from radishmount.fleet import (
    Fleet,
    Instance,
    InstanceList,
    MemberState,
    MemberTable,
    MemberUpdate,
    Peers,
    PeerSession,
    Ping,
    ProbeReply,
    ProbeRequest,
)


KEY = b"a key for tests only"
PROBE_REPLY = ProbeReply(reachable=True)


def make_members(name: str, incarnation: int = 1) -> MemberTable:
    return MemberTable(MemberUpdate(name, incarnation, 0, MemberState.LIVE), "milano")


async def answer_ping(name: str, message: Any) -> Result[ProbeReply, Refusal]:
    return Ok(PROBE_REPLY)


class TestRequest:
    """`Peers.request` returns the response, or a refusal with whether it may have run."""

    pytestmark = pytest.mark.looptime

    def peers(self, network: FakeNetwork, *names: str) -> list[Peers]:
        made = []
        listed = tuple(Instance(name, "milano", "", f"{name}:1") for name in names)
        for name in names:
            members = make_members(name)
            fleet = Fleet(name, "milano", members)
            fleet.apply_list(InstanceList(1, listed))
            counters = Counters()
            open_peer = network.open_peer_for(members, counters)
            peers = Peers(fleet, open_peer, virtual_clock(), counters)
            network.add(name, members, peers)
            made.append(peers)
        return made

    async def test_returns_the_response_of_the_other_instance(self) -> None:
        one, other = self.peers(FakeNetwork(), "entry-a", "entry-b")
        other.handle_requests(Ping, answer_ping)

        assert await one.request("entry-b", Ping()) == Ok(PROBE_REPLY)

    async def test_many_requests_share_one_stream(self) -> None:
        network = FakeNetwork()
        one, other = self.peers(network, "entry-a", "entry-b")
        other.handle_requests(Ping, answer_ping)

        answers = await asyncio.gather(*(one.request("entry-b", Ping()) for _ in range(20)))

        assert answers == [Ok(PROBE_REPLY)] * 20
        assert network.opened_count == 1

    async def test_a_request_to_an_unreachable_instance_is_not_run(self) -> None:
        network = FakeNetwork()
        one, _ = self.peers(network, "entry-a", "entry-b")
        network.split(("entry-a",), ("entry-b",))

        refusal = (await one.request("entry-b", Ping())).unwrap_err()

        assert (refusal.code, refusal.ran) == (Code.PEER_UNREACHABLE, RunStatus.NOT_RUN)

    async def test_a_request_that_times_out_after_sending_may_have_run(self) -> None:
        network = FakeNetwork()
        one, other = self.peers(network, "entry-a", "entry-b")
        other.handle_requests(Ping, answer_ping)
        await one.request("entry-b", Ping())
        network.silent_pairs.add(frozenset(("entry-a", "entry-b")))

        refusal = (await one.request("entry-b", Ping(), timeout_ms=300.0)).unwrap_err()

        assert (refusal.code, refusal.ran) == (Code.PEER_TIMED_OUT, RunStatus.UNKNOWN)

    async def test_a_message_that_cannot_be_read_does_not_end_the_stream(self) -> None:
        """Guards against one odd entry that cuts an instance off from its peers."""
        one, other = self.peers(FakeNetwork(), "entry-a", "entry-b")
        other.handle_requests(Ping, answer_ping)
        reported: list[tuple[str, Code]] = []
        other.on_unreadable = lambda name, refusal: reported.append((name, refusal.code))
        await one.request("entry-b", Ping())
        session = one.sessions_by_name["entry-b"]
        for _ in range(3):
            session.notify(ProbeRequest(target=""))
        answer = await one.request("entry-b", Ping())

        assert answer == Ok(PROBE_REPLY)
        assert one.sessions_by_name["entry-b"] is session
        assert reported == [("entry-a", Code.UNREADABLE_MESSAGE)]

    async def test_a_message_without_a_handler_is_refused(self) -> None:
        one, _ = self.peers(FakeNetwork(), "entry-a", "entry-b")

        refusal = (await one.request("entry-b", Ping())).unwrap_err()

        assert refusal.code is Code.UNKNOWN_MESSAGE

    async def test_a_lost_stream_ends_pending_requests(self) -> None:
        one, other = self.peers(FakeNetwork(), "entry-a", "entry-b")

        async def stop_first(name: str, message: Any) -> Result[ProbeReply, Refusal]:
            await other.sessions_by_name["entry-a"].close()
            return Err(Refusal(Code.INTERNAL))

        other.handle_requests(Ping, stop_first)
        refusal = (await one.request("entry-b", Ping())).unwrap_err()

        assert (refusal.code, refusal.ran) == (Code.PEER_LOST, RunStatus.UNKNOWN)


class TcpPair:
    """Two instances with streams over loopback TCP."""

    def __init__(self, opener_key: bytes = KEY) -> None:
        self.one = make_members("entry-a", incarnation=5)
        self.other = make_members("entry-b", incarnation=6)
        self.opener_key = opener_key
        self.other_counters = Counters()
        self.one_counters = Counters()
        self.server: PeerServer | None = None

    async def __aenter__(self) -> "TcpPair":
        clock = loop_clock(asyncio.get_running_loop())
        self.other_peers = Peers(
            Fleet("entry-b", "milano", self.other),
            make_peer_opener(PeerCredentials(KEY, self.other), self.other_counters),
            clock,
            self.other_counters,
        )
        self.other_peers.handle_requests(Ping, answer_ping)
        self.server = (
            await serve_peers(
                SocketAddress("127.0.0.1", 0),
                PeerCredentials(KEY, self.other),
                self.other_counters,
                self.other_peers.accept,
            )
        ).unwrap()
        fleet = Fleet("entry-a", "milano", self.one)
        address = str(self.server.address)
        fleet.apply_list(InstanceList(1, (Instance("entry-b", "milano", "", address),)))
        open_peer = make_peer_opener(PeerCredentials(self.opener_key, self.one), self.one_counters)
        self.one_peers = Peers(fleet, open_peer, clock, self.one_counters)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.one_peers.stop()
        await self.other_peers.stop()
        assert self.server is not None
        await self.server.stop()


class TestTcpStreams:
    """Streams over TCP authenticate both ends, and send a stranger nothing but a nonce."""

    async def test_requests_and_responses_are_delivered(self) -> None:
        async with TcpPair() as pair:
            assert await pair.one_peers.request("entry-b", Ping()) == Ok(PROBE_REPLY)
            assert pair.one_peers.sessions_by_name["entry-b"].peer.incarnation == 6
            assert pair.other_peers.sessions_by_name["entry-a"].peer.incarnation == 5

    async def test_a_frame_right_after_the_hello_is_kept(self) -> None:
        async with TcpPair() as pair:
            pair.one_peers.handle_requests(Ping, answer_ping)
            asked: list[asyncio.Task[Any]] = []

            def ask_at_once(session: PeerSession) -> None:
                asked.append(asyncio.create_task(session.request(Ping(), 1000.0)))

            pair.other_peers.on_open.append(ask_at_once)
            await pair.one_peers.open("entry-b")

            assert await asked[0] == Ok(PROBE_REPLY)

    async def test_an_opener_with_another_key_is_refused_as_a_stranger(self) -> None:
        async with TcpPair(opener_key=b"another key than theirs") as pair:
            refusal = (await pair.one_peers.request("entry-b", Ping())).unwrap_err()

            assert refusal.code is Code.PEER_UNREACHABLE
            assert pair.other_counters.value("peer_strangers") == 1
            assert pair.other_peers.sessions_by_name == {}

    async def test_a_peer_that_knows_a_later_incarnation_reports_it(self) -> None:
        async with TcpPair() as pair:
            pair.other.apply(MemberUpdate("entry-a", 9, 0, MemberState.LIVE), "test")
            refusal = (await pair.one_peers.request("entry-b", Ping())).unwrap_err()

            assert refusal.code is Code.OLD_INCARNATION
            assert pair.one.own.incarnation == 10
            assert await pair.one_peers.request("entry-b", Ping()) == Ok(PROBE_REPLY)

    async def test_a_replayed_hello_is_refused(self) -> None:
        async with TcpPair() as pair:
            assert pair.server is not None
            recorded = bytearray()
            forward = pair.server.address

            async def record(reader: Any, writer: Any) -> None:
                far_in, far_out = await asyncio.open_connection(forward.host, forward.port)
                writer.write(await far_in.read(100))
                recorded.extend(await reader.read(1000))
                far_out.close()
                writer.close()

            relay = await asyncio.start_server(record, "127.0.0.1", 0)
            host, port = relay.sockets[0].getsockname()
            await make_peer_opener(PeerCredentials(KEY, pair.one), Counters())(
                "entry-b", f"{host}:{port}"
            )
            relay.close()
            reader, writer = await asyncio.open_connection(forward.host, forward.port)
            await reader.read(100)
            writer.write(bytes(recorded))

            assert len(recorded) > 40
            assert await reader.read() == b""
            assert pair.other_peers.sessions_by_name == {}
            writer.close()

    @pytest.mark.parametrize("size", [10, 2000, 200_000])
    async def test_invalid_bytes_get_no_response(self, size: int) -> None:
        async with TcpPair() as pair:
            assert pair.server is not None
            address = pair.server.address
            reader, writer = await asyncio.open_connection(address.host, address.port)
            await reader.read(100)
            writer.write(b"\xc6" + Random(size).randbytes(size))
            writer.write_eof()
            try:
                answer = await reader.read()
            except ConnectionResetError:
                answer = b""
            writer.close()

            assert answer == b""
            assert pair.other_counters.value("peer_strangers") == 1

    async def test_a_connection_without_a_hello_is_closed(self) -> None:
        async with TcpPair() as pair:
            assert pair.server is not None
            address = pair.server.address
            reader, writer = await asyncio.open_connection(address.host, address.port)
            challenge = await reader.read(100)
            rest = await reader.read()
            writer.close()

            assert len(challenge) == 18  # a nonce of sixteen bytes, and its msgpack header
            assert rest == b""
            assert pair.other_counters.value("peer_strangers") == 1

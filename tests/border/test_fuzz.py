"""Fuzz tests: malformed input always leads to a code, never to an exception or a hanging task."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest.mock import patch

from hypothesis import example, given
from hypothesis import strategies as st
from result import Err, Ok

from fake_service import FREE_ADDRESS, AppFactory, FakeService, operator_app, send_raw, serve_fake
from fuzzing import (
    FUZZ,
    FUZZ_MANY,
    as_json,
    json_values,
    mutated,
    mutated_bodies,
    mutated_bytes,
    packed,
    run_example,
)
from radishmount.border import (
    HttpPlatformClient,
    PeerCredentials,
    _http,
    _peer_stream,
    make_caller_app,
    open_endpoint_channel,
    parse_object,
    read_bundle,
    read_entry_settings,
    serve_peers,
    unpack_frame,
    write_bundle,
)
from radishmount.border._jsonc import parse_jsonc
from radishmount.border._peer_codec import MODELS_BY_KIND
from radishmount.border._responses import encode_json
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.endpoints import SearchTerms, SubRequest
from radishmount.fleet import MemberState, MemberTable, MemberUpdate, PeerStream


ROOT = Path(__file__).parents[2]

SEARCH = {
    "caller": "workshop",
    "collection": "catalogue",
    "text": "washi",
    "limit": 5,
    "keys": {"from": "a", "to": "b"},
    "deadline_ms": 100.0,
}
REPLY = {
    "outcome": "ok",
    "ran": True,
    "request_id": "r",
    "attempt": 1,
    "shard": "s",
    "index_version": 1,
    "rows": [["k", 1.0, {"v": 1}]],
    "load": {"slots": 2, "in_flight": 0, "queued": 0, "draining": False, "versions": [1]},
}
OBJECTS = [
    item
    for name in ("catalogue", "callers", "data-centres")
    for item in parse_jsonc((ROOT / f"examples/padana/{name}.jsonc").read_text()).unwrap()
]
LIST = {
    "version": 1,
    "instances": [
        {"name": "e", "role": "entry", "data_centre": "m", "state": "live", "caller_address": "x"}
    ],
}
MANIFEST = {
    "manifest": {
        "version": 7,
        "total_bytes": 20,
        "sha256": "0" * 64,
        "pieces": ["radishmount/bundle/7/0"],
    }
}
SETTINGS = {
    "name": "entry-a",
    "data_centre": "milano",
    "caller_address": "127.0.0.1:0",
    "operator_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "platform": "127.0.0.1:9",
    "peer_key": "a key of some length",
}


async def send_raw_request(service: FakeService, make_app: AppFactory, sent: bytes) -> bytes:
    """Send bytes to an HTTP API with short timeouts, and return the bytes that come back."""
    with patch.object(_http, "BODY_TIMEOUT_S", 0.05):
        async with serve_fake(service, make_app, idle_timeout_s=0.05) as address:
            return await send_raw(address, sent)


def check_responses(answer: bytes, service: FakeService) -> None:
    """Check that each HTTP response is a result, or a refusal with a code."""
    assert not [name for name, _ in service.counters.by_name if name == "internal_errors"]
    while answer:
        head, _, rest = answer.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        content, answer = rest[:length], rest[length:]
        if status < 400 or not content:
            continue
        parsed = json.loads(content)
        if "error" in parsed:
            assert Code(parsed["error"]["number"]).name == parsed["error"]["name"]


def request_bytes(path: str, body: bytes) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


class TestHttpApis:
    """The HTTP APIs for callers and operators, by raw bytes on a connection."""

    @FUZZ
    @given(body=mutated_bodies(SEARCH))
    def test_malformed_search_bodies_are_answered(self, body: bytes) -> None:
        service = FakeService(leaving=True)

        async def work() -> None:
            answer = await send_raw_request(
                service, make_caller_app, request_bytes("/v1/search", body)
            )
            assert answer.startswith(b"HTTP/1.1 ")
            check_responses(answer, service)

        run_example(work)

    @FUZZ
    @given(sent=mutated_bytes(request_bytes("/v1/search", as_json(SEARCH))))
    def test_malformed_caller_requests_are_answered(self, sent: bytes) -> None:
        service = FakeService()

        async def work() -> None:
            check_responses(await send_raw_request(service, make_caller_app, sent), service)

        run_example(work)

    @FUZZ
    @given(
        sent=mutated_bytes(b"GET /v1/addresses?caller=workshop&data_centre=x HTTP/1.1\r\n\r\n")
        | mutated_bytes(b"GET /audit?subject=a&since=3 HTTP/1.1\r\nHost: x\r\n\r\n")
        | mutated_bytes(b"GET /explain/r1 HTTP/1.1\r\nExpect: 100-continue\r\n\r\n")
        | st.binary(max_size=80)
    )
    def test_malformed_operator_requests_are_answered(self, sent: bytes) -> None:
        service = FakeService()

        async def work() -> None:
            check_responses(await send_raw_request(service, operator_app, sent), service)

        run_example(work)


async def respond_with(content: bytes, ask: Callable[[str], Awaitable[None]]) -> None:
    """Run a server that answers each request with `content`, and call `ask` with its address."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(content)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        await ask(f"{host}:{port}")
    finally:
        server.close()
        await asyncio.sleep(0)


def response_bytes(body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


def responses(valid: Any) -> st.SearchStrategy[bytes]:
    return mutated_bodies(valid).map(response_bytes) | mutated_bytes(response_bytes(as_json(valid)))


class TestPeerPort:
    """Bytes without a valid handshake, sent to the port for other instances."""

    @FUZZ
    @given(sent=st.binary(max_size=200) | packed(json_values))
    def test_an_unauthenticated_connection_is_closed_and_counted(self, sent: bytes) -> None:
        counters = Counters()
        accepted: list[PeerStream] = []

        async def accept(stream: PeerStream) -> None:
            accepted.append(stream)

        async def work() -> None:
            update = MemberUpdate("entry-a", 1, 0, MemberState.LIVE)
            credentials = PeerCredentials(b"a key for tests only", MemberTable(update, "milano"))
            served = await serve_peers(FREE_ADDRESS, credentials, counters, accept)
            server = served.unwrap()
            await send_raw(str(server.address), sent)
            while not counters.value("peer_strangers"):
                await asyncio.sleep(0.001)
            await server.stop()

        with patch.object(_peer_stream, "HANDSHAKE_TIMEOUT_S", 0.05):
            run_example(work)
        assert accepted == []


class TestReplies:
    """Replies of endpoints and of the platform."""

    @FUZZ
    @given(content=responses(REPLY))
    @example(content=response_bytes(as_json({**REPLY, "rows": [["k", 1.0, {"v": 2**70}]]})))
    @example(content=response_bytes(as_json(REPLY).replace(b"1.0", b"1e999")))
    @example(content=b"HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n")
    def test_malformed_endpoint_replies_are_failures(self, content: bytes) -> None:
        request = SubRequest("r", 1, "s", 1, 0.0, SearchTerms("washi"))

        async def ask(address: str) -> None:
            channel = open_endpoint_channel(address)
            async with asyncio.timeout(5.0):
                outcome = await channel.exchange(request, 100.0)
                await channel.probe()
            await channel.close()
            match outcome:
                case Ok(reply):
                    assert (reply.request_id, reply.attempt) == ("r", 1)
                    assert (reply.shard, reply.index_version) == ("s", 1)
                    encode_json([[row.key, row.score, row.fields] for row in reply.rows])
                case Err(failure):
                    assert isinstance(failure.code, Code)

        run_example(lambda: respond_with(content, ask))

    @FUZZ
    @given(content=responses(LIST) | responses(MANIFEST))
    def test_malformed_platform_responses_are_refused(self, content: bytes) -> None:
        async def ask(address: str) -> None:
            platform = HttpPlatformClient(address)
            for read in (platform.instance_list, platform.bundle):
                answer = await read(0, 100)
                if isinstance(answer, Err):
                    assert isinstance(answer.err_value, Refusal)
            await platform.close()

        run_example(lambda: respond_with(content, ask))


kinds = st.sampled_from([*MODELS_BY_KIND, "refusal"]) | st.text(max_size=10)


class TestDocuments:
    """Published objects, bundles, settings and peer frames, parsed without a connection."""

    @FUZZ_MANY
    @given(raw=st.sampled_from(OBJECTS).flatmap(mutated))
    def test_malformed_published_objects_are_diagnosed(self, raw: Any) -> None:
        match parse_object(raw):
            case Ok(item):
                write_bundle(1, [raw])
                assert item.name
            case Err(diagnostics):
                assert diagnostics
                assert all(str(diagnostic) for diagnostic in diagnostics)

    @FUZZ_MANY
    @given(
        body=mutated_bytes(write_bundle(1, OBJECTS)) | mutated_bodies({"version": 1, "objects": []})
    )
    def test_malformed_bundles_are_diagnosed(self, body: bytes) -> None:
        read = read_bundle(body)

        assert read.is_ok() or all(isinstance(d.code, Code) for d in read.unwrap_err())

    @FUZZ_MANY
    @given(objects=mutated(OBJECTS))
    def test_malformed_objects_with_a_matching_digest_are_diagnosed(self, objects: Any) -> None:
        try:
            body = write_bundle(1, objects)
        except (TypeError, AttributeError):
            return  # a publisher's tool cannot write such objects
        read = read_bundle(body)

        assert read.is_ok() or all(isinstance(d.code, Code) for d in read.unwrap_err())

    @FUZZ_MANY
    @given(text=st.text() | mutated_bytes(as_json(OBJECTS)).map(lambda b: b.decode("latin-1")))
    def test_malformed_json_with_comments_is_a_syntax_error(self, text: str) -> None:
        parsed = parse_jsonc(text)

        assert parsed.is_ok() or parsed.unwrap_err().message

    @FUZZ_MANY
    @given(content=mutated_bodies(SETTINGS))
    def test_malformed_settings_are_refused_with_the_file(
        self, content: bytes, tmp_path: Path
    ) -> None:
        path = tmp_path / "settings.jsonc"
        path.write_bytes(content)
        read = read_entry_settings(path)

        if isinstance(read, Err):
            assert read.err_value.code in (
                Code.BAD_SETTING,
                Code.BROKEN_SYNTAX,
                Code.UNREADABLE_FILE,
            )
            assert str(path) in read.err_value.detail

    @FUZZ_MANY
    @given(
        content=st.binary(max_size=200)
        | packed(json_values)
        | packed(st.tuples(st.sampled_from(["n", "q", "a"]), st.integers(0, 9), kinds, json_values))
    )
    def test_malformed_peer_frames_are_refused(self, content: bytes) -> None:
        unpacked = unpack_frame(content)

        assert unpacked.is_ok() or unpacked.unwrap_err().code is Code.UNREADABLE_MESSAGE

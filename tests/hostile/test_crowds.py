"""Crowds of clients that keep no limit, each against one real process with little memory.

The tests check nothing that depends on the speed of the machine. They run one at a time, apart from
the other tests (`make test`). The sizes of the crowds and the bounds were fixed before the product
was changed; `hostile_harness` holds the bounds.
"""

import asyncio
import socket
from collections.abc import Callable, Iterator
from itertools import count
from pathlib import Path

import pytest

from hostile_harness import (
    LARGE_BODY,
    LARGE_PATH,
    MAX_DESCRIPTORS,
    MEDIUM_PATH,
    SEND_TIMEOUT_S,
    Crowd,
    HostileConnection,
    InstanceProcess,
    Send,
    check_bounds,
    request_head,
    run_instance,
)


pytestmark = pytest.mark.hostile

CROWD = 150
CONNECTIONS_BEYOND_LIMIT = MAX_DESCRIPTORS + 100
BODY_BYTES = 262_144  # the largest body that the pages allow
PIECE_BYTES = 4_096
LARGE_CHUNK_BYTES = 65_536
MAX_ENDLESS_BYTES = 4_000_000  # on each connection that sends without end
PIPELINED_REQUESTS = 4_000
WHOLE_BODIES = 8  # on each connection, before one that stops short
KEPT_CONNECTIONS = 40
BACK_END_WORK_MS = 2_000.0
RECEIVE_BUFFER_BYTES = 4_096
PARSERS = {"C parser": {}, "Python parser": {"AIOHTTP_NO_EXTENSIONS": "1"}}
numbers = count(1)


def repeated(start: bytes, part: bytes) -> Send:
    """Return a sender of `start`, and then of `part` again and again up to a bound in bytes."""
    block = part * max(1, 60_000 // len(part))

    async def send(connection: HostileConnection) -> None:
        await connection.send(start)
        await connection.send_all(block for _ in range(MAX_ENDLESS_BYTES // len(block)))

    return send


def chunks(size: int, total: int) -> Iterator[bytes]:
    """Return the chunks of a body of `total` bytes, without its last chunk, in large writes."""
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    for_each_write = max(1, 6_000 // len(chunk))
    for _ in range(total // (size * for_each_write)):
        yield chunk * for_each_write


def body_by_length(piece_bytes: int) -> Send:
    """Return a sender of a body of legal size that stops one byte short."""
    body = b"x" * (BODY_BYTES - 1)

    async def send(connection: HostileConnection) -> None:
        await connection.send(request_head("POST", f"Content-Length: {BODY_BYTES}").encode())
        await connection.send_all(
            body[start : start + piece_bytes] for start in range(0, len(body), piece_bytes)
        )

    return send


def body_in_chunks(size: int) -> Send:
    """Return a sender of a chunked body of legal size that stops before its last chunk."""

    async def send(connection: HostileConnection) -> None:
        await connection.send(request_head("POST", "Transfer-Encoding: chunked").encode())
        await connection.send_all(chunks(size, BODY_BYTES))

    return send


def whole_bodies(count: int, *, then_short: bool) -> Send:
    """Return a sender of `count` whole bodies at once, and of another one that stops short."""
    request = request_head("POST", f"Content-Length: {BODY_BYTES}").encode() + b"x" * BODY_BYTES

    async def send(connection: HostileConnection) -> None:
        await connection.send_all([request] * count)
        if then_short:
            await connection.send(request[:-1])

    return send


def pipelined_requests() -> Send:
    """Return a sender of many requests at once, for a path without a route."""
    request = request_head("GET", path="/none/1").encode()

    async def send(connection: HostileConnection) -> None:
        await connection.send(request * PIPELINED_REQUESTS)

    return send


def requests_without_reading(path: str) -> Send:
    """Return a sender of a request for a large response, of which it reads nothing."""
    request = request_head("GET", path=path).encode()

    async def send(connection: HostileConnection) -> None:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        await connection.send(request)
        await asyncio.sleep(SEND_TIMEOUT_S / 2)

    return send


def responses_read_at_once() -> Send:
    """Return a sender of a request that reads its large response, and keeps the connection."""
    request = request_head("GET", path=LARGE_PATH).encode()

    async def send(connection: HostileConnection) -> None:
        await connection.send(request)
        await connection.read(len(LARGE_BODY))

    return send


def one_at_a_time(send: Send) -> Send:
    """Return a sender that does what `send` does, one connection after the other."""
    turn = asyncio.Lock()

    async def send_in_turn(connection: HostileConnection) -> None:
        async with turn:
            await send(connection)

    return send_in_turn


def nested_arrays() -> Send:
    """Return a sender of the heads of long arrays, one inside the other."""
    heads = b"".join(b"\xdd" + (60_000).to_bytes(4, "big") for _ in range(500))

    async def send(connection: HostileConnection) -> None:
        await connection.send(heads)

    return send


async def send_nothing(connection: HostileConnection) -> None:
    """Only hold the connection open."""


CHUNKED_HEAD = request_head("POST", "Transfer-Encoding: chunked").encode()
OPEN_HEAD = request_head("GET").encode().removesuffix(b"\r\n")
HEADS: dict[str, Callable[[], Send]] = {
    "request line without end": lambda: repeated(b"GET /orders/", b"a" * 1_000),
    "field without end": lambda: repeated(OPEN_HEAD + b"X-Long: ", b"a" * 1_000),
    "many fields": lambda: repeated(OPEN_HEAD, b"X-Field: " + b"a" * 900 + b"\r\n"),
    "many short fields": lambda: repeated(OPEN_HEAD, b"a:b\r\n"),
    "empty lines without end": lambda: repeated(b"", b"\r\n"),
    "trailers without end": lambda: repeated(
        CHUNKED_HEAD + b"1\r\nx\r\n0\r\n", b"X-Field: " + b"a" * 15_000 + b"\r\n"
    ),
    "chunk extension without end": lambda: repeated(CHUNKED_HEAD + b"1;a=", b"b" * 1_000),
}
BODIES: dict[str, Callable[[], Send]] = {
    "by length, whole": lambda: body_by_length(BODY_BYTES),
    "by length, in pieces": lambda: body_by_length(PIECE_BYTES),
    "chunks of 1 byte": lambda: body_in_chunks(1),
    "large chunks": lambda: body_in_chunks(LARGE_CHUNK_BYTES),
    "whole": lambda: whole_bodies(1, then_short=False),
    "whole, then one that stops short": lambda: whole_bodies(WHOLE_BODIES, then_short=True),
}


async def attack(
    folder: Path,
    send: Send,
    env: dict[str, str],
    port: str = "front",
    crowd: int = CROWD,
    work_ms: float = 0.0,
) -> None:
    """Run a crowd against one process, and check the bounds while the crowd is connected."""
    async with run_instance(folder, next(numbers), work_ms, **env) as instance:
        await attack_instance(instance, send, port, crowd)


async def attack_instance(
    instance: InstanceProcess, send: Send, port: str = "front", crowd: int = CROWD
) -> None:
    """Run a crowd against a process that is running already; see `attack`."""
    crowd_of_clients = Crowd(instance, port)
    try:
        await crowd_of_clients.attack(crowd, send)
        await check_bounds(instance, crowd_of_clients)
    finally:
        crowd_of_clients.close()


class TestHeads:
    """Heads over the limit or without end ended a process that kept what had come so far."""

    @pytest.mark.parametrize("parser", PARSERS)
    @pytest.mark.parametrize("kind", HEADS)
    async def test_bounds_hold(self, kind: str, parser: str, tmp_path: Path) -> None:
        await attack(tmp_path, HEADS[kind](), PARSERS[parser])

    @pytest.mark.parametrize("port", ["directory", "ready", "control"])
    async def test_bounds_hold_at_the_other_ports(self, port: str, tmp_path: Path) -> None:
        await attack(tmp_path, HEADS["request line without end"](), {}, port)


class TestBodies:
    """Many bodies of legal size that stop just short of their end, and stay open."""

    @pytest.mark.parametrize("kind", BODIES)
    async def test_bounds_hold(self, kind: str, tmp_path: Path) -> None:
        await attack(tmp_path, BODIES[kind](), {})

    async def test_bounds_hold_while_the_endpoint_works(self, tmp_path: Path) -> None:
        """Whole bodies cannot be given up while they are forwarded, as they may have run."""
        await attack(tmp_path, BODIES["whole"](), {}, work_ms=BACK_END_WORK_MS)

    async def test_bounds_hold_with_one_crowd_after_the_other(self, tmp_path: Path) -> None:
        """What was held for connections that have ended added up from crowd to crowd."""
        async with run_instance(tmp_path, next(numbers)) as instance:
            for kind in BODIES:
                await attack_instance(instance, BODIES[kind]())


class TestResponses:
    """Responses that are large, that are not read, or whose clients keep the connection."""

    async def test_bounds_hold_with_medium_responses_that_are_not_read(
        self, tmp_path: Path
    ) -> None:
        await attack(tmp_path, requests_without_reading(MEDIUM_PATH), {})

    async def test_bounds_hold_with_responses_that_are_read_at_once(self, tmp_path: Path) -> None:
        await attack(tmp_path, responses_read_at_once(), {})

    async def test_bounds_hold_with_connections_kept_after_their_response(
        self, tmp_path: Path
    ) -> None:
        """Each kept connection held its last response until the next request on it."""
        send = one_at_a_time(responses_read_at_once())
        await attack(tmp_path, send, {}, crowd=KEPT_CONNECTIONS)


class TestConnections:
    """Many requests at once on each connection, and more connections than descriptors."""

    async def test_bounds_hold_with_pipelined_requests(self, tmp_path: Path) -> None:
        await attack(tmp_path, pipelined_requests(), {})

    async def test_bounds_hold_with_responses_that_are_not_read(self, tmp_path: Path) -> None:
        await attack(tmp_path, requests_without_reading(LARGE_PATH), {})

    async def test_bounds_hold_with_nested_arrays_at_the_port_for_peers(
        self, tmp_path: Path
    ) -> None:
        await attack(tmp_path, nested_arrays(), {}, "control")

    async def test_bounds_hold_with_connections_beyond_the_limit(self, tmp_path: Path) -> None:
        await attack(tmp_path, send_nothing, {}, crowd=CONNECTIONS_BEYOND_LIMIT)

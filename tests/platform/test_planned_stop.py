"""Every state of a caller's connection during a planned stop, over loopback."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from platform_harness import HOST, PlatformHarness, single_route, start_platform_harness


GRACE_MS = 4_000.0
LISTENING_ENDS_S = 1.6  # after two fifths of the grace period
REFUSALS_BEGIN_S = 2.0  # after half of the grace period
BODY = b"x" * 16_000
PIECES = 10


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield an instance with one route to requests that must not run twice."""
    started = await start_platform_harness()
    await started.add_back_end("orders", "b1")
    await started.publish(3, single_route(routeType="unsafe", maxAttempts=1, timeoutMs=10_000))
    yield started
    await started.stop()


class Connection:
    """A connection of a caller, on which a test sends bytes at the moments that it chooses."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, harness: PlatformHarness) -> "Connection":
        """Connect to the instance."""
        address = harness.instance.servers[0].address
        return cls(*await asyncio.open_connection(address.host, address.port))

    def send(self, content: bytes) -> None:
        """Send bytes."""
        self.writer.write(content)

    async def read_response(self) -> tuple[int, bytes]:
        """Return the status and the head of the next response, 0 if the connection ends first."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, b""
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await self.reader.readexactly(length)
        return int(head.split()[1]), head

    async def is_closed(self) -> bool:
        """Return whether the other side closes the connection without any more bytes."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True


def head_of(request_id: str, framing: str, time_left_ms: int = 4_000) -> bytes:
    """Return the head of a request with a body."""
    return (
        f"POST /orders/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Radishmount-Request-Id: {request_id}\r\nRadishmount-Time-Left-Ms: {time_left_ms}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


def whole_request(request_id: str, time_left_ms: int = 4_000) -> bytes:
    """Return a short request with a body."""
    return head_of(request_id, "Content-Length: 1", time_left_ms) + b"x"


def received_ids(harness: PlatformHarness) -> list[str]:
    """Return the ids of the requests that reached the back end."""
    return [request.request_id for request in harness.back_ends[0].received]


class TestConnectionsDuringAPlannedStop:
    """Requests that were read are answered, whatever the state of their connection."""

    @pytest.mark.parametrize("framing", ["length", "chunks"])
    async def test_an_upload_under_way_when_listening_ends_is_answered(
        self, harness: PlatformHarness, framing: str
    ) -> None:
        """Guards against uploads that are read to their end and never answered."""
        connection = await Connection.open(harness)
        stop = asyncio.create_task(harness.leave(GRACE_MS))
        await asyncio.sleep(LISTENING_ENDS_S - 0.15)
        size = len(BODY) // PIECES
        is_chunked = framing == "chunks"
        length = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(BODY)}"
        connection.send(head_of("q1", length))
        for number in range(PIECES):
            await asyncio.sleep(0.3 / PIECES)
            piece = BODY[number * size : (number + 1) * size]
            connection.send(b"%x\r\n%b\r\n" % (size, piece) if is_chunked else piece)
        connection.send(b"0\r\n\r\n" if is_chunked else b"")
        status, head = await connection.read_response()
        await stop

        assert status == 200
        assert b"connection: close" in head.lower()
        assert received_ids(harness) == ["q1"]
        assert harness.back_ends[0].received[0].body == BODY

    async def test_a_head_that_was_half_read_is_answered(self, harness: PlatformHarness) -> None:
        """Guards against a request in two segments that meets the end of listening."""
        connection = await Connection.open(harness)
        request = whole_request("q1")
        stop = asyncio.create_task(harness.leave(GRACE_MS))
        await asyncio.sleep(LISTENING_ENDS_S - 0.5)
        connection.send(request[:40])
        await asyncio.sleep(0.55)
        connection.send(request[40:])
        status, _ = await connection.read_response()
        await stop

        assert status == 200
        assert received_ids(harness) == ["q1"]

    async def test_a_second_request_on_the_connection_is_answered_too(
        self, harness: PlatformHarness
    ) -> None:
        """Guards against a request that was read and is dropped when the first one is answered."""
        harness.back_ends[0].work_ms = 200.0
        connection = await Connection.open(harness)
        stop = asyncio.create_task(harness.leave(GRACE_MS))
        await asyncio.sleep(0.1)
        connection.send(whole_request("q1") + whole_request("q2"))
        statuses = [(await connection.read_response())[0] for _ in range(2)]
        is_closed = await connection.is_closed()
        await stop

        assert statuses == [200, 200]
        assert is_closed

    async def test_an_idle_connection_is_closed_when_listening_ends(
        self, harness: PlatformHarness
    ) -> None:
        """Guards against callers that keep a connection until the instance is gone."""
        idle, reading = await Connection.open(harness), await Connection.open(harness)
        idle.send(whole_request("q1"))
        await idle.read_response()
        reading.send(head_of("q2", "Content-Length: 100") + b"x")
        stop = asyncio.create_task(harness.leave(GRACE_MS))
        is_closed = await idle.is_closed()
        was_stopping = not stop.done()  # the request that is being read holds the stop up
        status, _ = await reading.read_response()
        await stop

        assert is_closed
        assert was_stopping
        assert status == 503

    async def test_a_request_that_comes_too_late_is_refused_as_not_run(
        self, harness: PlatformHarness
    ) -> None:
        """Guards against requests that are passed on and cut off at the end of the grace period."""
        connection = await Connection.open(harness)
        stop = asyncio.create_task(harness.leave(GRACE_MS))
        await asyncio.sleep(LISTENING_ENDS_S - 0.1)
        request = whole_request("q1")
        connection.send(request[:40])
        await asyncio.sleep(REFUSALS_BEGIN_S - LISTENING_ENDS_S + 0.3)
        connection.send(request[40:])
        status, head = await connection.read_response()
        await stop

        assert status == 503
        assert b"retry-after" in head.lower()
        assert b"connection: close" in head.lower()
        assert received_ids(harness) == []

    async def test_a_request_that_takes_longer_than_the_stop_is_answered(
        self, harness: PlatformHarness
    ) -> None:
        """Guards against requests that end with a closed connection when the time is up."""
        harness.back_ends[0].work_ms = 60_000.0
        before = await Connection.open(harness)
        before.send(whole_request("q1", time_left_ms=9_000))
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(harness.leave(GRACE_MS))
        await asyncio.sleep(0.5)
        during = await Connection.open(harness)
        during.send(whole_request("q2", time_left_ms=9_000))
        statuses = [(await connection.read_response())[0] for connection in (before, during)]
        await stop

        assert statuses == [502, 504]
        assert received_ids(harness) == ["q1", "q2"]

    async def test_a_body_that_never_ends_is_refused_before_the_end(
        self, harness: PlatformHarness
    ) -> None:
        """Guards against an upload that ends with a closed connection instead of a refusal."""
        connection = await Connection.open(harness)
        stop = asyncio.create_task(harness.leave(GRACE_MS))
        await asyncio.sleep(0.1)
        connection.send(head_of("q1", "Content-Length: 100") + b"x")
        status, _ = await connection.read_response()
        await stop

        assert status == 503
        assert received_ids(harness) == []

"""Tests of closing a connection to an endpoint, over loopback."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest

from radishmount.border import open_endpoint_channel
from radishmount.codes import Code
from radishmount.endpoints import SearchTerms, SubRequest


REQUEST = SubRequest("r1", 1, "shard-0", 1, 0.0, SearchTerms("washi"))


@dataclass
class RawEndpoint:
    """An endpoint that sends `reply` for each read, if there is one.

    After the client has closed its side, it closes its own only if `closes` is set.
    """

    reply: bytes = b""
    closes: bool = True
    address: str = ""
    opened: int = 0
    open_now: int = 0
    max_open: int = 0
    left_open: list[asyncio.StreamWriter] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.open_now += 1
        self.max_open = max(self.max_open, self.open_now)
        while await reader.read(65536):
            if self.reply:
                writer.write(self.reply)
        if not self.closes:
            self.left_open.append(writer)
            return
        await asyncio.sleep(0.02)
        self.open_now -= 1
        writer.close()


@pytest.fixture
async def endpoint() -> AsyncIterator[RawEndpoint]:
    raw = RawEndpoint()
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    raw.address = f"{host}:{port}"
    yield raw
    for writer in raw.left_open:
        writer.close()
    server.close()


async def start_and_cancel(channel, endpoint: RawEndpoint) -> None:  # type: ignore[no-untyped-def]
    """Start an exchange and cancel it once the endpoint has accepted the connection."""
    opened = endpoint.opened
    exchange = asyncio.create_task(channel.exchange(REQUEST, 1_000.0))
    while endpoint.opened == opened:
        await asyncio.sleep(0.001)
    exchange.cancel()
    await asyncio.gather(exchange, return_exceptions=True)


class TestEndpointConnection:
    """A connection counts as closed only once the endpoint has closed it too."""

    async def test_close_waits_until_the_endpoint_has_closed(self, endpoint: RawEndpoint) -> None:
        channel = open_endpoint_channel(endpoint.address)
        for _ in range(5):
            await start_and_cancel(channel, endpoint)
            assert await channel.close() is True
            assert endpoint.open_now == 0

        assert (endpoint.opened, endpoint.max_open) == (5, 1)

    async def test_close_returns_false_if_the_endpoint_does_not_close(
        self, endpoint: RawEndpoint
    ) -> None:
        endpoint.closes = False
        channel = open_endpoint_channel(endpoint.address)
        await start_and_cancel(channel, endpoint)

        assert await channel.close() is False

    async def test_a_channel_that_was_never_opened_is_closed_at_once(self) -> None:
        assert await open_endpoint_channel("127.0.0.1:1").close() is True

    async def test_a_refused_connection_fails_as_not_connected(self) -> None:
        channel = open_endpoint_channel("127.0.0.1:1")
        failure = (await channel.exchange(REQUEST, 1_000.0)).unwrap_err()

        assert failure.code is Code.NOT_CONNECTED
        await channel.close()

    async def test_a_reply_that_violates_the_protocol_is_a_bad_reply(
        self, endpoint: RawEndpoint
    ) -> None:
        endpoint.reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"
        channel = open_endpoint_channel(endpoint.address)
        failure = (await channel.exchange(REQUEST, 1_000.0)).unwrap_err()

        assert failure.code is Code.BAD_REPLY
        await channel.close()

"""The socket under a connection to an endpoint, over loopback."""

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
    """Accepts connections, reads, and answers with `reply`, or never."""

    reply: bytes = b""
    closes: bool = True
    address: str = ""
    opened: int = 0
    open_now: int = 0
    most_open: int = 0
    held: list[asyncio.StreamWriter] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.open_now += 1
        self.most_open = max(self.most_open, self.open_now)
        while await reader.read(65536):
            if self.reply:
                writer.write(self.reply)
        if not self.closes:
            self.held.append(writer)
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
    for writer in raw.held:
        writer.close()
    server.close()


async def abandon(channel, endpoint: RawEndpoint) -> None:  # type: ignore[no-untyped-def]
    """Begin an exchange and cancel it once the endpoint has the connection."""
    opened = endpoint.opened
    exchange = asyncio.create_task(channel.exchange(REQUEST, 1_000.0))
    while endpoint.opened == opened:
        await asyncio.sleep(0.001)
    exchange.cancel()
    await asyncio.gather(exchange, return_exceptions=True)


class TestEndpointConnection:
    """Closed means that the endpoint has closed it too."""

    async def test_close_waits_until_the_endpoint_has_closed(self, endpoint: RawEndpoint) -> None:
        channel = open_endpoint_channel(endpoint.address)
        for _ in range(5):
            await abandon(channel, endpoint)
            assert await channel.close() is True
            assert endpoint.open_now == 0

        assert (endpoint.opened, endpoint.most_open) == (5, 1)

    async def test_close_tells_when_the_endpoint_does_not_close(
        self, endpoint: RawEndpoint
    ) -> None:
        endpoint.closes = False
        channel = open_endpoint_channel(endpoint.address)
        await abandon(channel, endpoint)

        assert await channel.close() is False

    async def test_close_of_a_channel_that_was_never_opened(self) -> None:
        assert await open_endpoint_channel("127.0.0.1:1").close() is True

    async def test_a_refused_connection_is_not_connected(self) -> None:
        channel = open_endpoint_channel("127.0.0.1:1")
        failure = (await channel.exchange(REQUEST, 1_000.0)).unwrap_err()

        assert failure.code is Code.NOT_CONNECTED
        await channel.close()

    async def test_a_reply_that_is_not_the_protocol_is_a_bad_reply(
        self, endpoint: RawEndpoint
    ) -> None:
        endpoint.reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"
        channel = open_endpoint_channel(endpoint.address)
        failure = (await channel.exchange(REQUEST, 1_000.0)).unwrap_err()

        assert failure.code is Code.BAD_REPLY
        await channel.close()

"""Tests of the relays that simulate network links."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from radishmount.standins import Direction, Relay, start_relay


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while content := await reader.read(100):
        writer.write(content)
    writer.close()


@pytest.fixture
async def relay() -> AsyncIterator[Relay]:
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    relay = await start_relay(f"{host}:{port}", lambda: 0.0)
    yield relay
    await relay.stop()
    server.close()


class TestRelay:
    """A relay delivers bytes in both directions unless it is cut."""

    async def test_relays_and_counts_both_directions(self, relay: Relay) -> None:
        reader, writer = await asyncio.open_connection(relay.address.host, relay.address.port)
        writer.write(b"washi")

        assert await reader.readexactly(5) == b"washi"
        assert relay.carried_bytes == 10
        writer.close()

    async def test_nothing_is_delivered_while_it_is_cut(self, relay: Relay) -> None:
        relay.is_cut = True
        reader, writer = await asyncio.open_connection(relay.address.host, relay.address.port)
        writer.write(b"washi")
        await asyncio.sleep(0.02)
        assert relay.carried_bytes == 0

        relay.is_cut = False

        assert await reader.readexactly(5) == b"washi"
        writer.close()

    async def test_one_direction_can_be_cut(self, relay: Relay) -> None:
        relay.cut_direction = Direction.FROM_TARGET
        reader, writer = await asyncio.open_connection(relay.address.host, relay.address.port)
        writer.write(b"washi")
        await asyncio.sleep(0.05)
        arrived = relay.carried_bytes

        relay.cut_direction = None

        assert arrived == 5
        assert await reader.readexactly(5) == b"washi"
        writer.close()

    async def test_open_connections_go_silent_while_new_ones_work(self, relay: Relay) -> None:
        old_reader, old_writer = await asyncio.open_connection(
            relay.address.host, relay.address.port
        )
        old_writer.write(b"washi")
        await old_reader.readexactly(5)
        relay.silence()
        old_writer.write(b"again")
        reader, writer = await asyncio.open_connection(relay.address.host, relay.address.port)
        writer.write(b"washi")

        assert await reader.readexactly(5) == b"washi"
        assert relay.carried_bytes == 20
        for stream in (old_writer, writer):
            stream.close()

    async def test_open_connections_can_be_reset(self, relay: Relay) -> None:
        reader, writer = await asyncio.open_connection(relay.address.host, relay.address.port)
        writer.write(b"washi")
        await reader.readexactly(5)

        relay.reset()

        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()

    async def test_closing_one_end_closes_the_other(self, relay: Relay) -> None:
        reader, writer = await asyncio.open_connection(relay.address.host, relay.address.port)
        writer.write(b"washi")
        await reader.readexactly(5)
        writer.write_eof()

        assert await reader.read() == b""
        writer.close()

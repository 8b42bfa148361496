"""Connections to back ends, over a transport from memory."""

import asyncio
import gc
from typing import Any

from radishmount.platform._backend_connection import BackendConnection
from radishmount.platform._backend_response import ResponseLimits, ResponseReader


RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


class MemoryTransport(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []

    def write(self, data: Any) -> None:
        self.written.append(bytes(data))

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        pass

    abort = close


def connect(limits: ResponseLimits | None = None) -> tuple[BackendConnection, MemoryTransport]:
    """Return a connection and its transport."""
    connection = BackendConnection(asyncio.get_running_loop(), limits)
    transport = MemoryTransport()
    connection.connection_made(transport)
    return connection, transport


def count_readers() -> int:
    """Return how many readers of responses are in memory."""
    return sum(isinstance(each, ResponseReader) for each in gc.get_objects())


class TestMemoryOfAResponse:
    """Load: many large responses, of which each stayed twice in memory after it was complete."""

    async def test_the_reader_is_free_once_the_response_is_complete(self) -> None:
        """Guards against a cycle with its parser, which only the cyclic collector ends."""
        connection, _ = connect()
        gc.collect()
        readers_before = count_readers()
        gc.disable()
        try:
            sending = asyncio.create_task(connection.send_request(b"GET", has_body=True))
            await asyncio.sleep(0.0)
            connection.data_received(RESPONSE)
            response = await sending
            readers = count_readers()
        finally:
            gc.enable()

        assert response.body == b"hello"
        assert readers == readers_before

    async def test_the_reader_is_free_once_the_connection_is_lost(self) -> None:
        connection, _ = connect()
        gc.collect()
        readers_before = count_readers()
        gc.disable()
        try:
            sending = asyncio.create_task(connection.send_request(b"GET", has_body=True))
            await asyncio.sleep(0.0)
            connection.data_received(RESPONSE[:-1])
            connection.connection_lost(None)
            result = (await asyncio.gather(sending, return_exceptions=True))[0]
            readers = count_readers()
        finally:
            gc.enable()

        assert isinstance(result, ConnectionResetError)
        assert readers == readers_before

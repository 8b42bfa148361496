"""A stand-in for a user's back end. It writes raw HTTP, so that it can send malformed replies."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from radishmount.standins._relay import RESET_ON_CLOSE


__all__ = ["BackEndStandIn", "ReceivedRequest"]


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as received: the request line, the headers by lower-case name, and the body.

    `connection` numbers the connection that it came over, from 1. `at_s` is when its headers were
    complete, in seconds on the clock of the event loop.
    """

    line: str
    headers: dict[str, str]
    body: bytes
    connection: int
    at_s: float = 0.0

    @property
    def request_id(self) -> str:
        """Return the request id that the caller gave, empty if it gave none."""
        return self.headers.get("radishmount-request-id", "")


def ok_answer(request: ReceivedRequest, name: str) -> bytes:
    """Return the complete, correct reply of a back end without faults."""
    body = f"{name} ran {request.line}".encode()
    return (
        f"HTTP/1.1 200 OK\r\nRadishmount-Request-Id: {request.request_id}\r\n"
        f"Radishmount-Server-Stamp: {name}.{request.request_id}\r\n"
        f"Radishmount-Server-Load: 1,0,2\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


@dataclass(slots=True)
class BackEndStandIn:
    """One back end on loopback. `answer` returns the bytes to send, or None to never reply.

    After a reply it closes the connection if `closes_after_reply` is set, and resets it if
    `resets_after_reply` is set. With `answers_early` it replies before it reads the body, and keeps
    the connection open. With `endless_part` it sends that part after the reply, again and again,
    `endless_pause_ms` after the one before, until the client closes the connection. It waits
    `work_ms` before each reply. `received` holds the requests received, `sent_bytes` counts what
    was sent, `connections` counts the connections accepted, and `ended_connections` those that have
    ended.
    """

    name: str
    answer: Callable[[ReceivedRequest, str], bytes | None] = ok_answer
    closes_after_reply: bool = False
    resets_after_reply: bool = False
    answers_early: bool = False
    work_ms: float = 0.0
    endless_part: bytes = b""
    endless_pause_ms: float = 0.0
    sent_bytes: int = 0
    received: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    ended_connections: int = 0
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    address: str = ""

    async def start(self) -> "BackEndStandIn":
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self) -> None:
        """Stop accepting connections, and close the open ones."""
        if self.server is not None:
            self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start a task that serves one connection."""
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        try:
            while True:
                request = await _read_head(reader, number)
                if not self.answers_early:
                    request = await _read_body(reader, request)
                self.received.append(request)
                content = self.answer(request, self.name)
                if content is None:
                    await reader.read()
                    return
                await asyncio.sleep(self.work_ms / 1000.0)
                await self._send(writer, content)
                while self.endless_part:
                    await self._send(writer, self.endless_part)
                    await asyncio.sleep(self.endless_pause_ms / 1000.0)
                if self.answers_early:
                    self.received[-1] = await _read_body(reader, request)
                if self.resets_after_reply:
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    writer.transport.abort()
                    return
                if self.closes_after_reply:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return  # the client closed the connection
        finally:
            self.ended_connections += 1
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter, content: bytes) -> None:
        self.sent_bytes += len(content)
        writer.write(content)
        await writer.drain()


async def _read_head(reader: asyncio.StreamReader, connection: int) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for text in rest:
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    at_s = asyncio.get_running_loop().time()
    return ReceivedRequest(line, headers, b"", connection, at_s)


async def _read_body(reader: asyncio.StreamReader, request: ReceivedRequest) -> ReceivedRequest:
    length = int(request.headers.get("content-length", "0"))
    return replace(request, body=await reader.readexactly(length))

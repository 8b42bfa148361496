"""A small stand-in of the users' back ends, written to the byte so that it can misbehave."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from radishmount.standins._relay import RESET_ON_CLOSE


__all__ = ["BackEndStandIn", "SeenRequest"]


@dataclass(frozen=True, slots=True)
class SeenRequest:
    """A request as it came: the first line, headers by lower-case name, the body.

    `at_s` is when its head was there, by the clock of the loop.
    """

    line: str
    headers: dict[str, str]
    body: bytes
    connection: int
    at_s: float = 0.0

    @property
    def request_id(self) -> str:
        """Return the caller's id of the request."""
        return self.headers.get("radishmount-request-id", "")


def plain_answer(request: SeenRequest, name: str) -> bytes:
    """Return a whole answer, as a back end without faults gives it."""
    body = f"{name} ran {request.line}".encode()
    return (
        f"HTTP/1.1 200 OK\r\nRadishmount-Request-Id: {request.request_id}\r\n"
        f"Radishmount-Server-Stamp: {name}.{request.request_id}\r\n"
        f"Radishmount-Server-Load: 1,0,2\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


@dataclass(slots=True)
class BackEndStandIn:
    """One back end on loopback. `answer` returns the bytes that it sends, none to stay silent.

    It closes the connection after an answer when `closes` is set, and resets it when `resets` is.
    With `answers_early` it answers before it reads the body, and keeps the connection. An answer
    takes `work_ms`.
    """

    name: str
    answer: Callable[[SeenRequest, str], bytes | None] = plain_answer
    closes: bool = False
    resets: bool = False
    answers_early: bool = False
    work_ms: float = 0.0
    seen: list[SeenRequest] = field(default_factory=list)
    connections: int = 0
    ended: int = 0
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    address: str = ""

    async def start(self) -> "BackEndStandIn":
        """Listen on a free port of loopback."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self) -> None:
        """Take no more connections, and end those that are open."""
        if self.server is not None:
            self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start the task of one connection."""
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
                    request = await _with_body(reader, request)
                self.seen.append(request)
                content = self.answer(request, self.name)
                if content is None:
                    await reader.read()
                    return
                await asyncio.sleep(self.work_ms / 1000.0)
                writer.write(content)
                await writer.drain()
                if self.answers_early:
                    self.seen[-1] = await _with_body(reader, request)
                if self.resets:
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    writer.transport.abort()
                    return
                if self.closes:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return  # the other end has gone
        finally:
            self.ended += 1
            writer.close()


async def _read_head(reader: asyncio.StreamReader, connection: int) -> SeenRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for text in rest:
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    at_s = asyncio.get_running_loop().time()
    return SeenRequest(line, headers, b"", connection, at_s)


async def _with_body(reader: asyncio.StreamReader, request: SeenRequest) -> SeenRequest:
    length = int(request.headers.get("content-length", "0"))
    return replace(request, body=await reader.readexactly(length))

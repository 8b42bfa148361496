"""The streams to the other instances, and the requests sent over them."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.fleet._cpu_meter import ControlCpuMeter
from radishmount.fleet._fleet import Fleet
from radishmount.fleet._messages import Frame, Message, Notice, Request, Response
from radishmount.fleet._session import PeerSession
from radishmount.fleet._stream import OpenPeer, PeerStream


__all__ = ["RequestHandler", "Peers", "NoticeHandler"]

REQUEST_TIMEOUT_MS = 1_000.0
MAX_CONCURRENT_REQUESTS_PER_PEER = 64

RequestHandler = Callable[[str, Message], Awaitable[Result[Message, Refusal]]]
NoticeHandler = Callable[[PeerSession, Message], None]


@dataclass(slots=True)
class Peers:
    """The open streams by the name of the peer; of several to one peer, the newest is used.

    Any part of an instance may send requests to another one by name, and register a handler for the
    requests of a message type:

        peers.handle_requests(Ping, handle_ping)
        match await peers.request("entry-b", Ping()):
            case Ok(message): ...

    A message whose fields are not accepted is dropped, and the stream goes on. `on_unreadable` is
    called with the name of its sender, once for each kind of fault in a row.
    """

    fleet: Fleet
    open_peer: OpenPeer
    clock: Clock
    counters: Counters
    sessions_by_name: dict[str, PeerSession] = field(default_factory=dict)
    request_handlers_by_kind: dict[type, RequestHandler] = field(default_factory=dict)
    notice_handlers_by_kind: dict[type, NoticeHandler] = field(default_factory=dict)
    opening_by_name: dict[str, asyncio.Task[Result[PeerSession, Refusal]]] = field(
        default_factory=dict
    )
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    cpu_meter: ControlCpuMeter = field(init=False)
    on_open: list[Callable[[PeerSession], None]] = field(default_factory=list)
    on_unreadable: Callable[[str, Refusal], None] = lambda name, refusal: None
    unreadable_detail_by_name: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the meter for the CPU time of the streams."""
        self.cpu_meter = ControlCpuMeter(self.clock, self.counters)

    def handle_requests(self, kind: type, function: RequestHandler) -> None:
        """Have `function` answer requests of the message type `kind`."""
        self.request_handlers_by_kind[kind] = function

    def handle_notices(self, kind: type, function: NoticeHandler) -> None:
        """Have `function` handle notices of the message type `kind`."""
        self.notice_handlers_by_kind[kind] = function

    async def request(
        self, name: str, message: Message, timeout_ms: float = REQUEST_TIMEOUT_MS
    ) -> Result[Message, Refusal]:
        """Send a request to the instance `name`, over its open stream or a new one.

        A refusal states in `ran` whether the request may have reached the instance.
        """
        deadline_at_ms = self.clock.now_ms() + timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                opened = await self.open(name)
        except TimeoutError:
            return Err(Refusal(Code.PEER_UNREACHABLE, detail=name))
        if isinstance(opened, Err):
            return opened
        session = opened.ok_value
        session.last_used_at_ms = self.clock.now_ms()
        outcome = await session.request(message, self.clock.remaining_ms(deadline_at_ms))
        if (
            outcome.is_err()
            and session.last_received_at_ms < session.last_used_at_ms
            and not session.closed
        ):
            self.counters.add("peer_streams_silent")
            await session.close()  # so that the next request opens a new stream
        return outcome

    async def open(self, name: str) -> Result[PeerSession, Refusal]:
        """Return the open stream to `name`, or open one. Concurrent calls share one attempt."""
        session = self.sessions_by_name.get(name)
        if session is not None and not session.closed:
            return Ok(session)
        task = self.opening_by_name.get(name)
        if task is None:
            task = asyncio.create_task(self._dial(name), name=f"open peer {name}")
            self.opening_by_name[name] = task
            task.add_done_callback(lambda done: self.opening_by_name.pop(name, None))
        return await asyncio.shield(task)

    async def open_address(self, address: str) -> Result[PeerSession, Refusal]:
        """Open a stream to the instance at `address`, whose name is not known yet."""
        return await self._dial_address("", address)

    async def accept(self, stream: PeerStream) -> None:
        """Serve a stream that another instance opened, until it ends."""
        await self._serve(self._register(stream))

    async def stop(self) -> None:
        """Close every stream."""
        for session in list(self.sessions_by_name.values()):
            await session.close()
        tasks = [*self.tasks, *self.opening_by_name.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _dial(self, name: str) -> Result[PeerSession, Refusal]:
        instance = self.fleet.by_name.get(name)
        if instance is None or not instance.peer_address:
            return Err(Refusal(Code.PEER_UNREACHABLE, detail=f"{name} is not listed"))
        return await self._dial_address(name, instance.peer_address)

    async def _dial_address(self, name: str, address: str) -> Result[PeerSession, Refusal]:
        opened = await self.open_peer(name, address)
        if isinstance(opened, Err):
            self.counters.add("peer_errors", opened.err_value.code.name)
            return opened
        session = self._register(opened.ok_value)
        task = asyncio.create_task(self._serve(session), name=f"peer {session.peer.name}")
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return Ok(session)

    def _register(self, stream: PeerStream) -> PeerSession:
        now_ms = self.clock.now_ms()
        session = PeerSession(stream, last_received_at_ms=now_ms, last_used_at_ms=now_ms)
        self.sessions_by_name[session.peer.name] = session
        self.counters.add("peer_streams_opened")
        for callback in self.on_open:
            callback(session)
        return session

    async def _serve(self, session: PeerSession) -> None:
        """Handle the frames of one stream in order, until it ends."""
        try:
            while True:
                received = await session.stream.receive()
                if isinstance(received, Err):
                    refusal = received.err_value
                    if refusal.code is Code.UNREADABLE_MESSAGE:
                        # Its sender is authenticated, and the frames after it can be told apart.
                        self._report_unreadable(session.peer.name, refusal)
                        continue
                    self.counters.add("peer_streams_ended", refusal.code.name)
                    return
                session.last_received_at_ms = self.clock.now_ms()
                with self.cpu_meter.measure("peer"):
                    self._handle_frame(session, received.ok_value)
        finally:
            if self.sessions_by_name.get(session.peer.name) is session:
                del self.sessions_by_name[session.peer.name]
            await session.close()

    def _report_unreadable(self, name: str, refusal: Refusal) -> None:
        """Count a message that cannot be read, and report it unless the last one was the same."""
        self.counters.add("peer_messages_unreadable", name)
        if self.unreadable_detail_by_name.get(name) != refusal.detail:
            self.unreadable_detail_by_name[name] = refusal.detail
            self.on_unreadable(name, refusal)

    def _handle_frame(self, session: PeerSession, frame: Frame) -> None:
        match frame:
            case Request() as request:
                self._handle_request(session, request)
            case Response() as response:
                if not session.deliver_response(response):
                    self.counters.add("peer_answers_late")
            case Notice(message):
                self._handle_notice(session, message)

    def _handle_notice(self, session: PeerSession, message: Message) -> None:
        handler = self.notice_handlers_by_kind.get(type(message))
        if handler is None:
            self.counters.add("peer_errors", Code.UNKNOWN_MESSAGE.name)
            return
        handler(session, message)

    def _handle_request(self, session: PeerSession, request: Request) -> None:
        """Handle a request in its own task, so that a slow handler does not block the stream."""
        handler = self.request_handlers_by_kind.get(type(request.message))
        if handler is None:
            session.respond(request.number, Err(Refusal(Code.UNKNOWN_MESSAGE)))
            return
        if len(session.handler_tasks) >= MAX_CONCURRENT_REQUESTS_PER_PEER:
            session.respond(request.number, Err(Refusal(Code.PEER_BUSY)))
            return

        async def handle_and_respond() -> None:
            session.respond(request.number, await handler(session.peer.name, request.message))

        task = asyncio.create_task(handle_and_respond(), name=f"answer {session.peer.name}")
        session.handler_tasks.add(task)
        task.add_done_callback(session.handler_tasks.discard)

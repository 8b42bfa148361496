"""The streams to the other instances, and the requests that travel over them."""

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

ASK_TIMEOUT_MS = 1_000.0
MAX_ANSWERS_OF_PEER = 64

RequestHandler = Callable[[str, Message], Awaitable[Result[Message, Refusal]]]
NoticeHandler = Callable[[PeerSession, Message], None]


@dataclass(slots=True)
class Peers:
    """The open streams by name of the peer, newest first to be used.

    Any part may ask another instance by name, and say what it answers to a kind of message:

        peers.answer(TicketQuestion, answer_ticket)
        match await peers.ask("entry-b", TicketQuestion("t-1")):
            case Ok(message): ...
    """

    fleet: Fleet
    open_peer: OpenPeer
    clock: Clock
    counters: Counters
    sessions_by_name: dict[str, PeerSession] = field(default_factory=dict)
    answers_by_kind: dict[type, RequestHandler] = field(default_factory=dict)
    notices_by_kind: dict[type, NoticeHandler] = field(default_factory=dict)
    opening_by_name: dict[str, asyncio.Task[Result[PeerSession, Refusal]]] = field(
        default_factory=dict
    )
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    cpu_meter: ControlCpuMeter = field(init=False)
    on_open: list[Callable[[PeerSession], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Count what the streams cost."""
        self.cpu_meter = ControlCpuMeter(self.clock, self.counters)

    def handle_requests(self, kind: type, function: RequestHandler) -> None:
        """Have `function` answer requests of the message type `kind`."""
        self.answers_by_kind[kind] = function

    def handle_notices(self, kind: type, function: NoticeHandler) -> None:
        """Have `function` take notices of the message type `kind`."""
        self.notices_by_kind[kind] = function

    async def request(
        self, name: str, message: Message, timeout_ms: float = ASK_TIMEOUT_MS
    ) -> Result[Message, Refusal]:
        """Ask the instance `name`, over its open stream or a new one.

        A refusal tells in `ran` whether the request may have reached the instance.
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
        session.used_at_ms = self.clock.now_ms()
        outcome = await session.request(message, self.clock.remaining_ms(deadline_at_ms))
        if outcome.is_err() and session.heard_at_ms < session.used_at_ms and not session.closed:
            self.counters.add("peer_streams_silent")
            await session.close()  # the next request is to find out whether a new one works
        return outcome

    async def open(self, name: str) -> Result[PeerSession, Refusal]:
        """Return the open stream to `name`, or open one."""
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
        """Open a stream to whichever instance listens at `address`, as before any list is known."""
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
        session = PeerSession(stream, heard_at_ms=now_ms, used_at_ms=now_ms)
        self.sessions_by_name[session.peer.name] = session
        self.counters.add("peer_streams_opened")
        for tell in self.on_open:
            tell(session)
        return session

    async def _serve(self, session: PeerSession) -> None:
        """Own one stream: take each frame in turn until it ends."""
        try:
            while True:
                received = await session.stream.receive()
                if isinstance(received, Err):
                    self.counters.add("peer_streams_ended", received.err_value.code.name)
                    return
                session.heard_at_ms = self.clock.now_ms()
                with self.cpu_meter.measure("peer"):
                    self._take_frame(session, received.ok_value)
        finally:
            if self.sessions_by_name.get(session.peer.name) is session:
                del self.sessions_by_name[session.peer.name]
            await session.close()

    def _take_frame(self, session: PeerSession, frame: Frame) -> None:
        match frame:
            case Request() as request:
                self._answer(session, request)
            case Response() as response:
                if not session.take_response(response):
                    self.counters.add("peer_answers_late")
            case Notice(message):
                self._take(session, message)

    def _take(self, session: PeerSession, message: Message) -> None:
        take = self.notices_by_kind.get(type(message))
        if take is None:
            self.counters.add("peer_errors", Code.UNKNOWN_MESSAGE.name)
            return
        take(session, message)

    def _answer(self, session: PeerSession, request: Request) -> None:
        """Answer in a task of its own, so that a slow answer does not hold up the stream."""
        answer = self.answers_by_kind.get(type(request.message))
        if answer is None:
            session.reply(request.number, Err(Refusal(Code.UNKNOWN_MESSAGE)))
            return
        if len(session.answers) >= MAX_ANSWERS_OF_PEER:
            session.reply(request.number, Err(Refusal(Code.PEER_BUSY)))
            return

        async def work() -> None:
            session.reply(request.number, await answer(session.peer.name, request.message))

        task = asyncio.create_task(work(), name=f"answer {session.peer.name}")
        session.answers.add(task)
        task.add_done_callback(session.answers.discard)

"""One stream to one peer: its requests, and the answers that it waits for."""

import asyncio
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal, RunStatus
from radishmount.fleet._messages import Message, Notice, PeerIdentity, Request, Response
from radishmount.fleet._stream import PeerStream


__all__ = ["PeerSession"]

Answer = Result[Message, Refusal]


@dataclass(slots=True, eq=False)
class PeerSession:
    """The state of one open stream. The task that owns the stream calls `close` at its end."""

    stream: PeerStream
    heard_at_ms: float
    used_at_ms: float
    waiting_by_number: dict[int, asyncio.Future[Answer]] = field(default_factory=dict)
    answers: set[asyncio.Task[None]] = field(default_factory=set)
    last_number: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def closed(self) -> bool:
        """Tell whether the stream has ended."""
        return self.ended.is_set()

    @property
    def peer(self) -> PeerIdentity:
        """Return who is at the other end."""
        return self.stream.peer

    def notify(self, message: Message) -> bool:
        """Send a message that wants no answer; tell whether the stream took it."""
        return not self.closed and self.stream.send(Notice(message)).is_ok()

    async def request(self, message: Message, timeout_ms: float) -> Answer:
        """Send a message and return the answer to it.

        A refusal says `not-run` only when the request did not leave.
        """
        if self.closed:
            return Err(Refusal(Code.PEER_UNREACHABLE, detail=self.peer.name))
        self.last_number += 1
        number = self.last_number
        sent = self.stream.send(Request(number, message))
        if isinstance(sent, Err):
            return sent
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.waiting_by_number[number] = future
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                return await future
        except TimeoutError:
            return Err(Refusal(Code.PEER_TIMED_OUT, self.peer.name, RunStatus.UNKNOWN))
        finally:
            self.waiting_by_number.pop(number, None)

    def take_response(self, response: Response) -> bool:
        """Deliver an answer; tell whether anyone waited for it."""
        future = self.waiting_by_number.pop(response.number, None)
        if future is None or future.done():
            return False
        refused = isinstance(response.message, Refusal)
        future.set_result(Err(response.message) if refused else Ok(response.message))
        return True

    def reply(self, number: int, answer: Answer) -> None:
        """Send the answer to the request `number`."""
        message = answer.err_value if isinstance(answer, Err) else answer.ok_value
        if self.closed:
            return
        sent = self.stream.send(Response(number, message))
        if isinstance(sent, Err) and sent.err_value.code is Code.FRAME_TOO_LARGE:
            self.stream.send(Response(number, replace(sent.err_value, ran=RunStatus.UNKNOWN)))

    async def close(self) -> None:
        """Close the stream; whoever waits for an answer is told that it was lost."""
        self.ended.set()
        for task in list(self.answers):
            task.cancel()
        for future in self.waiting_by_number.values():
            if not future.done():
                refusal = Refusal(Code.PEER_LOST, self.peer.name, RunStatus.UNKNOWN)
                future.set_result(Err(refusal))
        await self.stream.close()

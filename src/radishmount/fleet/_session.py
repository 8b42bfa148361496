"""One stream to one peer, with the requests in flight in both directions."""

import asyncio
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal, RunStatus
from radishmount.fleet._messages import Message, Notice, PeerIdentity, Request, Response
from radishmount.fleet._stream import PeerStream


__all__ = ["PeerSession"]

Outcome = Result[Message, Refusal]


@dataclass(slots=True, eq=False)
class PeerSession:
    """The state of one open stream. The task that reads the stream calls `close` at its end."""

    stream: PeerStream
    last_received_at_ms: float
    last_used_at_ms: float
    pending_by_number: dict[int, asyncio.Future[Outcome]] = field(default_factory=dict)
    handler_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    last_number: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def closed(self) -> bool:
        """Return whether the stream has ended."""
        return self.ended.is_set()

    @property
    def peer(self) -> PeerIdentity:
        """Return the identity of the instance at the other end."""
        return self.stream.peer

    def notify(self, message: Message) -> bool:
        """Send a message without a response; return whether the stream accepted it."""
        return not self.closed and self.stream.send(Notice(message)).is_ok()

    async def request(self, message: Message, timeout_ms: float) -> Outcome:
        """Send a request and return the response.

        A refusal says `not-run` only if the request was not sent.
        """
        if self.closed:
            return Err(Refusal(Code.PEER_UNREACHABLE, detail=self.peer.name))
        self.last_number += 1
        number = self.last_number
        sent = self.stream.send(Request(number, message))
        if isinstance(sent, Err):
            return sent
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.pending_by_number[number] = future
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                return await future
        except TimeoutError:
            return Err(Refusal(Code.PEER_TIMED_OUT, self.peer.name, RunStatus.UNKNOWN))
        finally:
            self.pending_by_number.pop(number, None)

    def deliver_response(self, response: Response) -> bool:
        """Hand a response to its waiting request; return whether there was one."""
        future = self.pending_by_number.pop(response.number, None)
        if future is None or future.done():
            return False
        refused = isinstance(response.message, Refusal)
        future.set_result(Err(response.message) if refused else Ok(response.message))
        return True

    def respond(self, number: int, outcome: Outcome) -> None:
        """Send the response to the request `number`; if it is too large for a frame, a refusal."""
        message = outcome.err_value if isinstance(outcome, Err) else outcome.ok_value
        if self.closed:
            return
        sent = self.stream.send(Response(number, message))
        if isinstance(sent, Err) and sent.err_value.code is Code.FRAME_TOO_LARGE:
            self.stream.send(Response(number, replace(sent.err_value, ran=RunStatus.UNKNOWN)))

    async def close(self) -> None:
        """Close the stream; pending requests end with `PEER_LOST`."""
        self.ended.set()
        for task in list(self.handler_tasks):
            task.cancel()
        for future in self.pending_by_number.values():
            if not future.done():
                refusal = Refusal(Code.PEER_LOST, self.peer.name, RunStatus.UNKNOWN)
                future.set_result(Err(refusal))
        await self.stream.close()

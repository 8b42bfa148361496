"""One HTTP connection of a client, which accounts for what the process holds for it."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from radishmount.border._error_frames import forget_frames
from radishmount.border._framing_guard import FramingGuard
from radishmount.border._piecewise_body import PiecewiseBody
from radishmount.border._responses import refusal_response
from radishmount.border._shared_reads import SharedReads
from radishmount.client_memory import (
    MIN_COUNTED_BYTES,
    Activity,
    ConnectionAccount,
    ResponseBody,
)
from radishmount.codes import Code, Refusal, RunStatus


__all__ = ["IDLE_TIMEOUT_S", "ClientConnection", "ConnectionLimits", "OpenConnections"]

IDLE_TIMEOUT_S = 60.0
MAX_HEADER_BYTES = 8_190
# Small reads keep the cost of a parse in bounds: tiny fields and chunks take many times their bytes
# as objects. Beyond twice the bytes to read ahead, a body that nobody reads stops the connection.
READ_AHEAD_BYTES = 16_384
WRITE_BUFFER_BYTES = 16_384  # of a response; what exceeds this is accounted for
MESSAGE_BYTES = 3_072  # the objects of a request without its header fields
USUAL_FIELDS = 20  # an account of a connection includes one request with that many fields
HEAD_FACTOR = 2  # the limit holds for the line, and again for all fields
FIELD_BYTES = 400  # the objects of one header field
BODY_FACTOR = 2  # a body is held by its request, and by the connection to a slow endpoint
RESPONSE_CHECK_S = 1.0
RESPONSE_STALL_CHECKS = 10  # without progress; then the client is taken to be gone
EVICTION_TIMEOUT_S = 1.0  # for a client to take the refusal
STARTS_IN_A_TURN = 4  # of requests that were sent behind another one, in a turn of the event loop
HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
LARGE_HEAD_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
TOO_MUCH_HELD_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


@dataclass(slots=True)
class OpenConnections:
    """The connections of one server.

    While the server drains, or `is_leaving` returns true, each closes after its next response.
    `turns` lets few requests start in a turn of the event loop that were sent behind another one.
    """

    is_leaving: Callable[[], bool] = lambda: False
    is_draining: bool = False
    connections: "set[ClientConnection]" = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    turns: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(STARTS_IN_A_TURN))

    async def wait_until_none(self) -> None:
        """Wait until no connection is open."""
        while self.connections:
            self.changed.clear()
            await self.changed.wait()


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The limits for each connection of a client.

    A connection is closed after `idle_timeout_s` without a request. A request is refused if its
    head is not complete within `head_timeout_s` of its first byte, or if its line or the sum of its
    fields exceeds `max_header_bytes`.
    """

    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_header_bytes: int = MAX_HEADER_BYTES
    head_timeout_s: float = IDLE_TIMEOUT_S


class ClientConnection(web.RequestHandler, SharedReads):
    """One connection of a client; errors that aiohttp detects are answered with a code too.

    `body_timeout` bounds the reading of a body while a handler reads one; `refuse_body` ends it.
    """

    __slots__ = (
        "_costs",
        "_guard",
        "_head_timeout_s",
        "_head_timer",
        "_is_refusing",
        "_last_payload",
        "_last_total_bytes",
        "_open_connections",
        "_open_transport",
        "_requests_seen",
        "_response_bytes",
        "_response_stalls",
        "_response_timer",
        "_tail_bytes",
        "_was_complete",
        "account",
        "body_refusal",
        "body_timeout",
        "max_header_bytes",
        "may_have_large_head",
    )

    def __init__(
        self,
        manager: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: ConnectionLimits,
        open_connections: OpenConnections,
        account: ConnectionAccount,
        options: dict[str, Any],
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            read_bufsize=READ_AHEAD_BYTES,
            **options,
        )
        self.max_header_bytes = limits.max_header_bytes
        self.may_have_large_head = False
        self._head_timeout_s = limits.head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._open_connections = open_connections
        self._open_transport: asyncio.Transport | None = None
        self._guard = FramingGuard(HEAD_FACTOR * limits.max_header_bytes)
        self._is_refusing = False
        self._costs: deque[int] = deque()
        self._requests_seen = 0
        self._last_payload: StreamReader = EMPTY_PAYLOAD
        self._last_total_bytes = 0
        self._was_complete = True
        self._tail_bytes = 0
        self._response_bytes = 0
        self._response_stalls = 0
        self._response_timer: asyncio.TimerHandle | None = None
        self.body_timeout: asyncio.Timeout | None = None
        self.body_refusal: Refusal | None = None
        self.account = account
        account.activity = self._activity
        account.evict = self._evict

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to those of the server."""
        super().connection_made(transport)
        assert self.transport is not None
        self._open_transport = self.transport
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._open_connections.connections.add(self)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read, is waiting or is handled."""
        is_reading_head = self._head_timer is not None
        if self._request_in_progress or self._messages or is_reading_head:
            return
        if self._waiter is None or self._waiter.done():
            return  # it is between two requests, and closes after the response to the next one
        self.force_close()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send the response; with the last one before the server stops, the connection ends."""
        is_last = self._open_connections.is_draining or self._open_connections.is_leaving()
        if (is_last or self._is_refusing) and not self._messages:
            resp.force_close()
        body_bytes = self._take_over_body(resp)
        finished = await super().finish_response(request, resp, start_time)
        if isinstance(resp, web.Response):
            resp.body = None  # aiohttp keeps the response until the next request has been handled
            self.account.release(body_bytes)
        if self._request_count != self._requests_seen:
            self._account_for(0)  # what followed a declined upgrade is parsed after the response
        cost = self._costs.popleft() if self._costs else 0
        if cost:
            self.account.release(cost)
        self.account.record_progress()
        if self._messages:
            async with self._open_connections.turns:
                await asyncio.sleep(0.0)
        return finished

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; the first bytes of a request head start the head timeout."""
        if self._is_refusing or (not data and not self._tail_bytes):
            return  # without data, this resumes a parser that was paused
        port = self.account.port
        if port.held_bytes > port.limits.budget_bytes and data and not self._costs:
            port.record_refused("full")
            self._end(TOO_MUCH_HELD_RESPONSE)
            return
        super().data_received(data)
        self._account_for(len(data))
        if self._messages or self._request_in_progress:
            self._stop_head_timer()
        elif self._head_timer is None and data and self.transport is not None:
            self._start_head_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timers when the connection ends, and release what was held for it.

        Requests that wait and the last body refer to the connection, and it to them. They are
        dropped here, as a body would otherwise stay until the cyclic garbage collector has run.
        """
        self._stop_head_timer()
        self._stop_response_timer()
        self._open_connections.connections.discard(self)
        self._open_connections.changed.set()
        handler = self._task_handler if self._request_in_progress else None
        super().connection_lost(exc)
        self._messages.clear()
        self._last_payload = EMPTY_PAYLOAD
        self._open_transport = None
        if handler is None:
            self.account.close()
        else:
            handler.add_done_callback(lambda _: self.account.close())

    def pause_writing(self) -> None:
        """Account for what the transport holds of a response that the client takes slowly."""
        super().pause_writing()
        if self.transport is None:
            return
        self._response_bytes = self.transport.get_write_buffer_size()
        self._response_stalls = 0
        self._response_timer = self._loop.call_later(RESPONSE_CHECK_S, self._check_response)
        self.account.hold(self._response_bytes)

    def resume_writing(self) -> None:
        """Account for a part of a response that the client has taken, but for a rest."""
        self._stop_response_timer()
        self.account.record_progress()
        super().resume_writing()

    def stop_reading(self) -> None:
        """Ignore what still comes; the connection closes after the last response."""
        self._is_refusing = True
        self._lingering_time = 0.0

    def refuse_body(self, refusal: Refusal) -> None:
        """Refuse the request whose body is not complete, now or once its turn comes."""
        if self.body_refusal is not None:
            return
        self.body_refusal = refusal
        if self.body_timeout is not None and not self.body_timeout.expired():
            self.body_timeout.reschedule(self._loop.time())

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to invalid HTTP, or after an unexpected error."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        refusal = Refusal(Code.INTERNAL, detail=type(exc).__name__, ran=RunStatus.UNKNOWN)
        if isinstance(exc, LineTooLong):
            refusal = Refusal(Code.HEADER_TOO_LARGE)
        elif status < 500:
            refusal = Refusal(Code.BAD_HTTP, detail=type(exc).__name__)
        response = refusal_response(refusal, "")
        response.force_close()
        return response

    def _take_over_body(self, response: web.StreamResponse) -> int:
        """Account for the body of a large response until it is written; return its bytes."""
        if not isinstance(response, web.Response):
            return 0
        body = response.body
        if not isinstance(body, bytes) or len(body) < MIN_COUNTED_BYTES:
            return 0
        self.account.hold(len(body))
        if isinstance(body, ResponseBody):
            body.take_over()
        response.body = PiecewiseBody(body)
        return len(body)

    def _account_for(self, byte_count: int) -> None:
        """Account for what the parser made of received bytes, and for what it still keeps."""
        new_messages = self._request_count - self._requests_seen
        self._requests_seen = self._request_count
        if new_messages:
            if byte_count + self._guard.pending_bytes > self.max_header_bytes:
                self.may_have_large_head = True
            for index in range(-new_messages, 0):
                self._account_for_message(*self._messages[index])
            has_progressed = True
        else:
            body_bytes = self._last_payload.total_bytes - self._last_total_bytes
            is_complete = self._last_payload.is_eof()
            has_progressed = body_bytes > 0 or is_complete is not self._was_complete
            if body_bytes > 0:
                self._last_total_bytes += body_bytes
                cost = BODY_FACTOR * body_bytes
                if self._costs:
                    self._costs[-1] += cost
                    self.account.hold(cost)
        self._was_complete = self._last_payload.is_eof()
        before = self._guard.pending_bytes
        if before or not has_progressed:
            self._guard.record(byte_count, has_progressed=has_progressed)
        # A parser that is paused keeps what it has not parsed.
        is_paused = self._reading_paused or self._buffer_paused
        tail_bytes = (byte_count or self._tail_bytes or 1) if is_paused else 0
        change = self._guard.pending_bytes - before + tail_bytes - self._tail_bytes
        self._tail_bytes = tail_bytes
        if change:
            self.account.hold(change)
        if has_progressed:
            if not self._was_complete:
                self.account.record_progress()
        elif self._guard.is_exceeded():
            self._refuse_framing()

    def _account_for_message(self, message: Any, payload: StreamReader) -> None:
        cost = BODY_FACTOR * payload.total_bytes
        if isinstance(message, RawRequestMessage):
            field_count = len(message.raw_headers)
            if field_count > USUAL_FIELDS or self._costs:
                cost += MESSAGE_BYTES + FIELD_BYTES * field_count
        else:
            forget_frames(message.exc)
            self.stop_reading()  # invalid HTTP; what follows has no meaning
            if not self._was_complete:
                self.refuse_body(Refusal(Code.BAD_HTTP))
        self._costs.append(cost)
        self._last_payload, self._last_total_bytes = payload, payload.total_bytes
        if cost:
            self.account.hold(cost)

    def _refuse_framing(self) -> None:
        """Refuse a head, or what follows one, that is larger than any client needs."""
        self.account.port.counters.add("client_heads_refused", self.account.port.port.value)
        if self._costs:
            self.stop_reading()
            self.refuse_body(Refusal(Code.HEADER_TOO_LARGE))
            return
        self._end(LARGE_HEAD_RESPONSE)

    def _evict(self, code: Code) -> None:
        """End what the connection holds, with a refusal where one can still be sent.

        Where the client does not take what was written before, the connection is aborted.
        """
        transport = self._open_transport
        if transport is None:
            return
        if transport.is_closing():
            transport.abort()
            return
        self._loop.call_later(EVICTION_TIMEOUT_S, transport.abort)
        match self._activity():
            case Activity.BODY:
                self.stop_reading()
                self.refuse_body(Refusal(code, retry_after_ms=1_000.0))
            case Activity.HEAD:
                self._end(TOO_MUCH_HELD_RESPONSE)
            case Activity.IDLE:
                self._end(b"")
            case _:
                self._is_refusing = True
                if self.transport is not None:
                    self.transport.abort()

    def _end(self, response: bytes) -> None:
        """Close the connection, after `response` if no other request is handled."""
        self._is_refusing = True
        self._stop_head_timer()
        if self.transport is None or self.transport.is_closing():
            return
        if self._costs:
            return  # the connection closes after the last response
        if response:
            self.transport.write(response)
        self.force_close()

    def _activity(self) -> Activity:
        if self._response_timer is not None:
            return Activity.RESPONSE
        if self.body_timeout is not None:
            return Activity.BODY
        if len(self._costs) > 1:
            return Activity.QUEUED
        if self._costs:
            # Without its whole body, a request has not been passed on by its handler.
            return Activity.RUNNING if self._last_payload.is_eof() else Activity.BODY
        return Activity.HEAD if self._guard.pending_bytes else Activity.IDLE

    def _check_response(self) -> None:
        """Abort the connection if its client has taken no part of a response for some time."""
        if self.transport is None:
            return
        left_bytes = self.transport.get_write_buffer_size()
        self._response_stalls += 1
        if left_bytes < self._response_bytes:
            self.account.release(self._response_bytes - left_bytes)
            self.account.record_progress()
            self._response_bytes, self._response_stalls = left_bytes, 0
        if self._response_stalls >= RESPONSE_STALL_CHECKS:
            self.account.port.counters.add("answers_not_read")
            self.transport.abort()
            return
        self._response_timer = self._loop.call_later(RESPONSE_CHECK_S, self._check_response)

    def _stop_response_timer(self) -> None:
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None
            self.account.release(self._response_bytes)
            self._response_bytes = 0

    def _start_head_timer(self) -> None:
        self._head_timer = self._loop.call_later(self._head_timeout_s, self._refuse_slow_head)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_slow_head(self) -> None:
        self._head_timer = None
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(HEAD_TIMEOUT_RESPONSE)
            self.transport.close()

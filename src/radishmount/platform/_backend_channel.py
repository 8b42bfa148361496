"""The HTTP client for back ends: encodes forwarded requests and interprets the responses."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from http import HTTPStatus
from math import isnan

from result import Err, Ok, Result

from radishmount.border import parse_address
from radishmount.client_memory import ResponseLimits
from radishmount.codes import Code, RunStatus
from radishmount.endpoints import (
    Failure,
    ForwardCall,
    ForwardReply,
    ForwardRequest,
    HeaderPairs,
    LoadReport,
    OpenChannel,
    OrderAttemptOutcome,
    OrderRequest,
)
from radishmount.platform._backend_connection import BackendConnection, connect_backend
from radishmount.platform._backend_response import CompleteResponse, ResponseRejectedError
from radishmount.platform._protocol_names import (
    COLD_HEADER,
    EXPECTED_ENDPOINT_HEADER,
    HOP_BY_HOP_HEADERS,
    LEAVING_HEADER,
    LOAD_HEADER,
    NOT_EXECUTED_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    SIGNATURE_HEADER,
    TIME_LEFT_HEADER,
)


__all__ = ["BackendChannel", "Connect", "make_backend_channel_opener"]

# Ten times the sum of a round trip between data centres and the TCP handshake.
CONNECT_TIMEOUT_S = 0.25
MAX_IDLE_IDEMPOTENT_S = 60.0  # longer than back ends keep idle connections
# The back end may have dropped a connection that was idle for longer; opening a new one takes a
# few milliseconds.
MAX_IDLE_NON_IDEMPOTENT_S = 0.5
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
HEADER_ENCODING = ("utf-8", "surrogateescape")
PERCENT = 100.0
MAX_COLD_MS = 600_000.0  # a wrong value holds back requests to an endpoint for no longer
# The names of headers that a response is searched for, as the parser returns them.
ECHOED_ID_KEY = REQUEST_ID_HEADER.lower().encode()
SIGNATURE_KEY = SIGNATURE_HEADER.lower().encode()
LOAD_KEY = LOAD_HEADER.lower().encode()
LEAVING_KEY = LEAVING_HEADER.lower().encode()
COLD_KEY = COLD_HEADER.lower().encode()
RETRY_AFTER_KEY = RETRY_AFTER_HEADER.lower().encode()
NOT_EXECUTED_KEY = NOT_EXECUTED_HEADER.lower().encode()
HOP_BY_HOP_KEYS = frozenset(name.encode() for name in HOP_BY_HOP_HEADERS)

# The last two are raised for addresses that the operating system does not take.
CONNECT_ERRORS = (OSError, TimeoutError, ValueError, OverflowError)
NO_LOAD_REPORT = LoadReport()

ExchangeOutcome = Result[ForwardReply, Failure]
Connect = Callable[[str, int, float, ResponseLimits], Awaitable[BackendConnection]]


@dataclass(slots=True)
class CallEncoder:
    """Encodes calls, and keeps the bytes of the last one, which the shards of a search share."""

    call: ForwardCall | None = None
    head: bytes = b""

    def encode(self, request: ForwardRequest, remaining_ms: float) -> bytes:
        """Return the head of `request`, whose sender waits for another `remaining_ms`."""
        call = request.call
        if call is not self.call:
            self.head = _encode_head(call)
            self.call = call
        own_lines = (
            f"{TIME_LEFT_HEADER}: {int(remaining_ms)}\r\n"
            f"{EXPECTED_ENDPOINT_HEADER}: {request.expected_endpoint}\r\n\r\n"
        )
        return self.head + own_lines.encode(*HEADER_ENCODING)


class BackendChannel:
    """A connection to one back end, opened by `connect` on first use and after it was lost."""

    def __init__(
        self,
        address: str,
        limits: ResponseLimits | None = None,
        connect: Connect = connect_backend,
        encoder: CallEncoder | None = None,
    ) -> None:
        self._address = parse_address(address)
        self._limits = limits or ResponseLimits()
        self._connect = connect
        self._encoder = encoder or CallEncoder()
        self._connection: BackendConnection | None = None

    async def exchange(self, request: ForwardRequest, remaining_ms: float) -> ExchangeOutcome:
        """Send `request` and return the back end's complete response, or why there is none."""
        max_idle_s = MAX_IDLE_IDEMPOTENT_S if request.idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        try:
            connection = await self._get_connection(max_idle_s)
        except CONNECT_ERRORS as error:
            return Err(Failure(Code.NOT_CONNECTED, detail=repr(error)))
        head = self._encoder.encode(request, remaining_ms)
        request.sent_bytes = len(head) + len(request.call.body)
        try:
            response = await connection.send_request(
                head, request.call.body, has_body=request.call.method != "HEAD"
            )
        except ResponseRejectedError as error:
            return Err(Failure(Code.BAD_REPLY, RunStatus.UNKNOWN, detail=repr(error)))
        except OSError as error:
            return Err(Failure(Code.CONNECTION_LOST, RunStatus.UNKNOWN, detail=repr(error)))
        request.received_bytes = response.received_bytes
        return _parse_response(response, request)

    async def place(self, request: OrderRequest, remaining_ms: float) -> OrderAttemptOutcome:
        """Raise NotImplementedError: the platform's back ends do not take orders."""
        raise NotImplementedError("back ends of the platform do not take orders")

    async def probe(self) -> Result[LoadReport, Failure]:
        """Check that a connection can be opened; no request is sent to the back end."""
        try:
            await self._get_connection(MAX_IDLE_IDEMPOTENT_S)
        except CONNECT_ERRORS as error:
            return Err(Failure(Code.NOT_CONNECTED, detail=repr(error)))
        return Ok(LoadReport())

    async def close(self) -> bool:
        """Close the connection. During an exchange it is reset, so that the back end stops."""
        connection, self._connection = self._connection, None
        if connection is None:
            return True
        if connection.is_busy:
            connection.abort()
        else:
            connection.close()
        return True

    async def _get_connection(self, max_idle_s: float) -> BackendConnection:
        if self._connection is None or not self._connection.is_usable(max_idle_s):
            await self.close()
            host, port = self._address.host, self._address.port
            self._connection = await self._connect(host, port, CONNECT_TIMEOUT_S, self._limits)
        return self._connection


def make_backend_channel_opener(
    limits: ResponseLimits, connect: Connect = connect_backend
) -> OpenChannel:
    """Return a function that opens a channel to the back end at an address (`host:port`).

    The channel is not connected yet. All channels of the function share the `limits`.
    """
    encoder = CallEncoder()
    return lambda address: BackendChannel(address, limits, connect, encoder)


def _encode_head(call: ForwardCall) -> bytes:
    """Return the request line and the headers that all attempts at `call` have in common."""
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in call.headers)
    lines.append(f"{REQUEST_ID_HEADER}: {call.request_id}")
    if call.body or call.method in METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(call.body)}")
    return ("\r\n".join(lines) + "\r\n").encode(*HEADER_ENCODING)


def _parse_response(response: CompleteResponse, request: ForwardRequest) -> ExchangeOutcome:
    headers = response.by_name
    status = response.status
    load = _parse_load(headers.get(LOAD_KEY, b""))
    if headers.get(LEAVING_KEY) == b"1":
        load = replace(load, draining=True)
    if COLD_KEY in headers:
        load = replace(load, cold_ms=_parse_cold_ms(headers[COLD_KEY]))
    if status == HTTPStatus.SERVICE_UNAVAILABLE and RETRY_AFTER_KEY in headers:
        load = replace(load, pause_ms=_parse_pause_ms(headers[RETRY_AFTER_KEY]))
    # The rest of the report is used only where the endpoint took or shed the request.
    load_of_failure = load if load.draining or load.pause_ms else None
    echoed = headers.get(ECHOED_ID_KEY)
    if echoed is not None and echoed.decode(*HEADER_ENCODING) != request.call.request_id:
        detail = f"the response is for {echoed!r}"
        return Err(Failure(Code.BAD_REPLY, RunStatus.UNKNOWN, detail, load_of_failure))
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        expected = request.expected_endpoint
        return Err(Failure(Code.OTHER_ENDPOINT, RunStatus.NOT_RUN, expected, load_of_failure))
    if NOT_EXECUTED_KEY in headers:
        return Err(Failure(Code.SHED, RunStatus.NOT_RUN, detail=str(status), load=load))
    signature = headers.get(SIGNATURE_KEY, b"").decode(*HEADER_ENCODING)
    reply = ForwardReply(
        request.service,
        status,
        _end_to_end_headers(response, request),
        response.body,
        signature,
        load,
    )
    if reply.is_success and not signature:
        # A caller cannot tell such a response from one of another origin.
        detail = "a success without signature"
        return Err(Failure(Code.BAD_REPLY, RunStatus.UNKNOWN, detail, load_of_failure))
    return Ok(reply)


def _end_to_end_headers(response: CompleteResponse, request: ForwardRequest) -> HeaderPairs:
    """Return the headers that are passed on to the caller."""
    if not request.needs_headers:
        return ()
    return tuple(
        (name.decode(*HEADER_ENCODING), value.decode(*HEADER_ENCODING))
        for name, value in response.headers
        if name.lower() not in HOP_BY_HOP_KEYS
    )


def _parse_pause_ms(value: bytes) -> float:
    """Return the pause that a back end asks for in seconds, zero if that is not a length of time.

    A date is none: the clocks of the two machines differ.
    """
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return 1000.0 * seconds if seconds > 0.0 and not isnan(seconds) else 0.0


def _parse_load(value: bytes) -> LoadReport:
    """Parse the load header: `running,queued,slots`, the numbers of requests and of slots.

    A fourth figure is how long work takes on the machine now, in percent of the usual time.
    """
    try:
        running, waiting, slots, *others = (int(figure) for figure in value.split(b","))
    except ValueError:
        return NO_LOAD_REPORT  # back ends of some services do not report their load
    slowdown = others[0] / PERCENT if others and others[0] > 0 else None
    return LoadReport(slots=slots, in_flight=running, queued=waiting, slowdown=slowdown)


def _parse_cold_ms(value: bytes) -> float:
    """Return for how much longer a back end is cold, zero where the text is no length of time."""
    try:
        cold_ms = float(value)
    except ValueError:
        return 0.0
    return min(cold_ms, MAX_COLD_MS) if cold_ms > 0.0 else 0.0

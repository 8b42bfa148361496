"""The HTTP client for back ends: encodes forwarded requests and interprets the responses."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError
from result import Err, Ok, Result

from radishmount.border import parse_address
from radishmount.codes import Code, RunStatus
from radishmount.endpoints import (
    Channel,
    Failure,
    ForwardReply,
    ForwardRequest,
    LoadReport,
    OrderAttemptOutcome,
    OrderRequest,
)
from radishmount.platform._backend_connection import (
    BackendConnection,
    CompleteResponse,
    connect_backend,
)
from radishmount.platform._protocol_names import (
    EXPECTED_ENDPOINT_HEADER,
    HOP_BY_HOP_HEADERS,
    LOAD_HEADER,
    NOT_EXECUTED_HEADER,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
    TIME_LEFT_HEADER,
)


__all__ = ["BackendChannel", "open_backend_channel"]

# Ten times the sum of a round trip between data centres and the TCP handshake.
CONNECT_TIMEOUT_S = 0.25
MAX_IDLE_IDEMPOTENT_S = 60.0  # longer than back ends keep idle connections
# The back end may have dropped a connection that was idle for longer; opening a new one takes a
# few milliseconds.
MAX_IDLE_NON_IDEMPOTENT_S = 0.5
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})

ExchangeOutcome = Result[ForwardReply, Failure]
Connect = Callable[[str, int, float], Awaitable[BackendConnection]]


class BackendChannel:
    """A connection to one back end, opened by `connect` on first use and after it was lost."""

    def __init__(self, address: str, connect: Connect = connect_backend) -> None:
        self._address = parse_address(address)
        self._connect = connect
        self._connection: BackendConnection | None = None

    async def exchange(self, request: ForwardRequest, remaining_ms: float) -> ExchangeOutcome:
        """Send `request` and return the back end's complete response, or why there is none."""
        max_idle_s = MAX_IDLE_IDEMPOTENT_S if request.idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        try:
            connection = await self._get_connection(max_idle_s)
        except (OSError, TimeoutError) as error:
            return Err(Failure(Code.NOT_CONNECTED, detail=repr(error)))
        content = _encode(request, remaining_ms)
        try:
            response = await connection.send_request(
                content, has_body=request.call.method != "HEAD"
            )
        except HttpProcessingError as error:
            return Err(Failure(Code.BAD_REPLY, RunStatus.UNKNOWN, detail=repr(error)))
        except (aiohttp.ClientError, OSError) as error:
            return Err(Failure(Code.CONNECTION_LOST, RunStatus.UNKNOWN, detail=repr(error)))
        return _parse_response(response, request)

    async def place(self, request: OrderRequest, remaining_ms: float) -> OrderAttemptOutcome:
        """Raise NotImplementedError: the platform's back ends do not take orders."""
        raise NotImplementedError("back ends of the platform do not take orders")

    async def probe(self) -> Result[LoadReport, Failure]:
        """Check that a connection can be opened; no request is sent to the back end."""
        try:
            await self._get_connection(MAX_IDLE_IDEMPOTENT_S)
        except (OSError, TimeoutError) as error:
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
            self._connection = await self._connect(host, port, CONNECT_TIMEOUT_S)
        return self._connection


def open_backend_channel(address: str) -> Channel:
    """Return a channel to the back end at `address` (`host:port`), not connected yet."""
    return BackendChannel(address)


def _encode(request: ForwardRequest, remaining_ms: float) -> bytes:
    call = request.call
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in call.headers)
    lines.append(f"{REQUEST_ID_HEADER}: {call.request_id}")
    lines.append(f"{TIME_LEFT_HEADER}: {int(remaining_ms)}")
    lines.append(f"{EXPECTED_ENDPOINT_HEADER}: {request.expected_endpoint}")
    if call.body or call.method in METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(call.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("utf-8", "surrogateescape") + call.body


def _parse_response(response: CompleteResponse, request: ForwardRequest) -> ExchangeOutcome:
    headers = response.message.headers
    load = _parse_load(headers.get(LOAD_HEADER, ""))
    status = response.message.code
    echoed = headers.get(REQUEST_ID_HEADER)
    if echoed is not None and echoed != request.call.request_id:
        return Err(
            Failure(Code.BAD_REPLY, RunStatus.UNKNOWN, detail=f"the response is for {echoed}")
        )
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return Err(
            Failure(Code.OTHER_ENDPOINT, RunStatus.NOT_RUN, detail=request.expected_endpoint)
        )
    if NOT_EXECUTED_HEADER in headers:
        return Err(Failure(Code.SHED, RunStatus.NOT_RUN, detail=str(status), load=load))
    pairs = tuple(
        (name, value) for name, value in headers.items() if name.lower() not in HOP_BY_HOP_HEADERS
    )
    signature = headers.get(SIGNATURE_HEADER, "")
    return Ok(ForwardReply(request.service, status, pairs, response.body, signature, load))


def _parse_load(text: str) -> LoadReport:
    """Parse the load header: `running,queued,slots`, the numbers of requests and of slots."""
    try:
        running, waiting, slots = (int(figure) for figure in text.split(","))
    except ValueError:
        return LoadReport()  # back ends of some services do not report their load
    return LoadReport(slots=slots, in_flight=running, queued=waiting)

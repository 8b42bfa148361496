"""The client side towards back ends: a forwarded request as HTTP, and the answer's meaning."""

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
    WholeAnswer,
    connect_backend,
)
from radishmount.platform._protocol_names import (
    EXPECTED_ENDPOINT,
    HOP_HEADERS,
    LOAD,
    NOT_EXECUTED,
    REQUEST_ID,
    SIGNATURE,
    TIME_LEFT_MS,
)


__all__ = ["BackendChannel", "open_backend_channel"]

CONNECT_TIMEOUT_S = 0.25  # a round trip between data centres and the handshake, ten times over
KEPT_FOR_REPEATABLE_S = 60.0  # longer than back ends keep idle connections
KEPT_FOR_ONCE_S = 0.5  # an idle connection may be forgotten; a new one costs some milliseconds
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})

ForwardOutcome = Result[ForwardReply, Failure]


class BackendChannel:
    """One connection to one back end, opened when it is first needed and after each loss."""

    def __init__(self, address: str) -> None:
        self._listen = parse_address(address)
        self._connection: BackendConnection | None = None

    async def exchange(self, request: ForwardRequest, remaining_ms: float) -> ForwardOutcome:
        """Send `request` and return the back end's own whole answer, or why there is none."""
        max_idle_s = KEPT_FOR_REPEATABLE_S if request.idempotent else KEPT_FOR_ONCE_S
        try:
            connection = await self._connected(max_idle_s)
        except (OSError, TimeoutError) as error:
            return Err(Failure(Code.NOT_CONNECTED, detail=repr(error)))
        content = _encode(request, remaining_ms)
        try:
            answer = await connection.ask(content, has_body=request.call.method != "HEAD")
        except HttpProcessingError as error:
            return Err(Failure(Code.BAD_REPLY, RunStatus.UNKNOWN, detail=repr(error)))
        except (aiohttp.ClientError, OSError) as error:
            return Err(Failure(Code.CONNECTION_LOST, RunStatus.UNKNOWN, detail=repr(error)))
        return _outcome_of(answer, request)

    async def place(self, request: OrderRequest, remaining_ms: float) -> OrderAttemptOutcome:
        """Refuse: the product's own orders do not travel to the platform's back ends."""
        raise NotImplementedError("orders need the product's own endpoint protocol")

    async def probe(self) -> Result[LoadReport, Failure]:
        """Find out whether a connection can be made; the back end is not asked for anything."""
        try:
            await self._connected(KEPT_FOR_REPEATABLE_S)
        except (OSError, TimeoutError) as error:
            return Err(Failure(Code.NOT_CONNECTED, detail=repr(error)))
        return Ok(LoadReport())

    async def close(self) -> bool:
        """Close the connection; one with an open exchange is reset, so that the work ends."""
        connection, self._connection = self._connection, None
        if connection is None:
            return True
        if connection.is_busy:
            connection.abort()
        else:
            connection.close()
        return True

    async def _connected(self, max_idle_s: float) -> BackendConnection:
        if self._connection is None or not self._connection.is_usable(max_idle_s):
            await self.close()
            host, port = self._listen.host, self._listen.port
            self._connection = await connect_backend(host, port, CONNECT_TIMEOUT_S)
        return self._connection


def open_backend_channel(address: str) -> Channel:
    """Return a channel to the back end at `address`, not connected yet."""
    return BackendChannel(address)


def _encode(request: ForwardRequest, remaining_ms: float) -> bytes:
    call = request.call
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in call.headers)
    lines.append(f"{REQUEST_ID}: {call.request_id}")
    lines.append(f"{TIME_LEFT_MS}: {int(remaining_ms)}")
    lines.append(f"{EXPECTED_ENDPOINT}: {request.expected_endpoint}")
    if call.body or call.method in METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(call.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("utf-8", "surrogateescape") + call.body


def _outcome_of(answer: WholeAnswer, request: ForwardRequest) -> ForwardOutcome:
    headers = answer.message.headers
    load = _load_of(headers.get(LOAD, ""))
    status = answer.message.code
    echoed = headers.get(REQUEST_ID)
    if echoed is not None and echoed != request.call.request_id:
        return Err(Failure(Code.BAD_REPLY, RunStatus.UNKNOWN, detail=f"the answer to {echoed}"))
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return Err(
            Failure(Code.OTHER_ENDPOINT, RunStatus.NOT_RUN, detail=request.expected_endpoint)
        )
    if NOT_EXECUTED in headers:
        return Err(Failure(Code.SHED, RunStatus.NOT_RUN, detail=str(status), load=load))
    pairs = tuple(
        (name, value) for name, value in headers.items() if name.lower() not in HOP_HEADERS
    )
    signature = headers.get(SIGNATURE, "")
    return Ok(ForwardReply(request.service, status, pairs, answer.body, signature, load))


def _load_of(text: str) -> LoadReport:
    """Return the load in a header: running, waiting and slots, separated by commas."""
    try:
        running, waiting, slots = (int(figure) for figure in text.split(","))
    except ValueError:
        return LoadReport()  # back ends of some services tell no load
    return LoadReport(slots=slots, in_flight=running, queued=waiting)

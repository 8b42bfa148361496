"""What clients of the platform speak: requests, readiness, and where to connect."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from urllib.parse import parse_qs

import orjson
from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict
from result import Err

from radishmount.border import expect_continue, http_status_of
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.endpoints import ForwardCall, ForwardReply
from radishmount.forwarding import MergedAnswer
from radishmount.gateway import Gateway
from radishmount.platform._protocol_names import (
    HOP_HEADERS,
    MISSING_PARTS,
    PART_SIGNATURES,
    READINESS_PATH,
    REQUEST_ID,
    RESOLVE_PATH,
    RETRY_AFTER,
    TIME_LEFT_MS,
)


__all__ = ["make_caller_server", "make_directory_server", "make_readiness_server"]

BODY_TIMEOUT_S = 5.0  # a body at the size limit over a slow caller's link
SET_BY_CALLER = frozenset({REQUEST_ID.lower(), TIME_LEFT_MS.lower()})
TIMED_OUT_CODES = frozenset({Code.TIMED_OUT, Code.DEADLINE_PASSED})
FAULTS_OF_REQUESTS = range(1000, 2000)  # the codes that say what is wrong with a request
RETRY_AFTER_S = "0.2"  # about the time in which a shed endpoint or a new version is there

Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def make_caller_server(gateway: Gateway) -> web.Server:
    """Return a server for clients' requests. A client that leaves cancels its request."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        arrived_at_ms = gateway.dependencies.clock.now_ms()
        body = await _read_body(request)
        if isinstance(body, Refusal):
            response = _refused(body)
            response.force_close()
            return response
        outcome = await gateway.handle(
            _call_of(request, body), _host_of(request), arrived_at_ms, _time_left_ms(request)
        )
        response = (
            _refused(outcome.err_value) if isinstance(outcome, Err) else _answered(outcome.ok_value)
        )
        if gateway.leaving:
            response.force_close()
        return response

    def new_request(
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: object,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        limit = gateway.publication.caller_limits.max_body_bytes
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=limit  # type: ignore[arg-type]
        )

    return web.Server(handle, request_factory=new_request, handler_cancellation=True)


def make_readiness_server(gateway: Gateway) -> web.Server:
    """Return a server that tells the platform whether the instance is ready."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READINESS_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        ready = gateway.is_ready()
        return web.Response(status=HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)

    return web.Server(handle)


def make_directory_server(gateway: Gateway) -> web.Server:
    """Return a server that tells clients which addresses to use."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != RESOLVE_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        query = parse_qs(request.query_string)
        zone = query.get("zone", [""])[0]
        answer = gateway.addresses(zone)
        if not answer.addresses:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        body = {"addrs": list(answer.addresses), "ttl_s": answer.valid_for_ms / 1000.0}
        return web.Response(body=orjson.dumps(body), content_type="application/json")

    return web.Server(handle)


async def _read_body(request: web.BaseRequest) -> bytes | Refusal:
    if not request.can_read_body:
        return b""
    if "Expect" in request.headers:
        await expect_continue(request)
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await request.read()
    except TimeoutError:
        return Refusal(Code.BODY_TOO_SLOW)
    except web.HTTPRequestEntityTooLarge:
        return Refusal(Code.BODY_TOO_LARGE)
    except web.RequestPayloadError as error:
        return Refusal(Code.BAD_HTTP, detail=str(error))


def _call_of(request: web.BaseRequest, body: bytes) -> ForwardCall:
    named_here = {name.strip().lower() for name in request.headers.get("Connection", "").split(",")}
    dropped = HOP_HEADERS | SET_BY_CALLER | named_here
    headers = tuple(
        (name, value) for name, value in request.headers.items() if name.lower() not in dropped
    )
    return ForwardCall(
        request_id=request.headers.get(REQUEST_ID, ""),
        method=request.method,
        target=request.raw_path,
        headers=headers,
        body=body,
    )


def _host_of(request: web.BaseRequest) -> str:
    return request.headers.get("Host", "").partition(":")[0].lower()


def _time_left_ms(request: web.BaseRequest) -> float | None:
    try:
        return float(request.headers[TIME_LEFT_MS])
    except (KeyError, ValueError):
        return None  # the route's own limit holds


def _answered(answer: ForwardReply | MergedAnswer) -> web.Response:
    if isinstance(answer, MergedAnswer):
        headers = CIMultiDict({PART_SIGNATURES: ", ".join(answer.signatures)})
        if answer.missing_count:
            headers[MISSING_PARTS] = str(answer.missing_count)
        return web.Response(body=answer.records, headers=headers)
    return web.Response(status=answer.status, body=answer.body, headers=CIMultiDict(answer.headers))


def _refused(refusal: Refusal) -> web.Response:
    """Return a refusal of our own. Only what has not run, and never will, is a 503."""
    headers = {}
    is_late = refusal.code in TIMED_OUT_CODES
    if refusal.code in FAULTS_OF_REQUESTS and not is_late:
        status = http_status_of(refusal.code)
    elif refusal.ran is RunStatus.NOT_RUN:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        headers[RETRY_AFTER] = RETRY_AFTER_S
    else:
        status = HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY
    return web.Response(status=status, text=f"{refusal}\n", headers=headers)

"""The HTTP servers for clients of the platform: requests, readiness, and where to connect."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from math import isfinite
from urllib.parse import parse_qs

import orjson
from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict
from result import Err

from radishmount.border import http_status_of, read_request_body, send_continue
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.endpoints import ForwardCall, ForwardReply
from radishmount.forwarding import MergedAnswer
from radishmount.gateway import Gateway
from radishmount.platform._protocol_names import (
    HOP_BY_HOP_HEADERS,
    MISSING_PARTS_HEADER,
    PART_SIGNATURES_HEADER,
    READINESS_PATH,
    REQUEST_ID_HEADER,
    RESOLVE_PATH,
    RETRY_AFTER_HEADER,
    TIME_LEFT_HEADER,
)


__all__ = ["make_caller_server", "make_directory_server", "make_readiness_server"]

BODY_TIMEOUT_S = 5.0  # enough for a body at the size limit over a slow link
CONSUMED_HEADERS = frozenset({REQUEST_ID_HEADER.lower(), TIME_LEFT_HEADER.lower()})
TIMED_OUT_CODES = frozenset({Code.TIMED_OUT, Code.DEADLINE_PASSED})
REQUEST_ERROR_CODES = range(1000, 2000)  # codes for errors in the request itself
# About the time until an endpoint stops shedding, or a new version is available.
MIN_RETRY_AFTER_S = 0.2
MIN_ROOM_RETRY_S = 0.01  # room is found anew within tens of milliseconds, at a spread time

Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def make_caller_server(gateway: Gateway) -> web.Server:
    """Return a server for client requests. A client that disconnects cancels its request."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        arrived_at_ms = gateway.dependencies.clock.now_ms()
        try:
            async with gateway.planned_stop.limit():
                body = await _read_body(request)
        except TimeoutError:
            body = Refusal(Code.INSTANCE_LEAVING)
        if isinstance(body, Refusal):
            response = _refusal_response(body)
            response.force_close()
            return response
        outcome = await gateway.handle(
            _make_forward_call(request, body),
            _host_without_port(request),
            arrived_at_ms,
            _time_left_ms(request),
        )
        if isinstance(outcome, Err):
            return _refusal_response(outcome.err_value)
        return _reply_response(outcome.ok_value)

    def make_request(
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

    return web.Server(handle, request_factory=make_request, handler_cancellation=True)


def make_readiness_server(gateway: Gateway) -> web.Server:
    """Return a server for the platform's readiness checks: 200 if ready, 503 if not."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READINESS_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        ready = gateway.is_ready()
        return web.Response(status=HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)

    return web.Server(handle)


def make_directory_server(gateway: Gateway) -> web.Server:
    """Return a server from which clients get the addresses to connect to."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != RESOLVE_PATH:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        query = parse_qs(request.query_string)
        zone = query.get("zone", [""])[0]
        host = query.get("name", [""])[0].partition(":")[0].lower()
        answer = gateway.addresses(zone, host)
        if not answer.addresses:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        body = {"addrs": list(answer.addresses), "ttl_s": answer.valid_for_ms / 1000.0}
        return web.Response(body=orjson.dumps(body), content_type="application/json")

    return web.Server(handle)


async def _read_body(request: web.BaseRequest) -> bytes | Refusal:
    if request.can_read_body and "Expect" in request.headers:
        await send_continue(request)
    return await read_request_body(request, BODY_TIMEOUT_S)


def _make_forward_call(request: web.BaseRequest, body: bytes) -> ForwardCall:
    connection_headers = {
        name.strip().lower() for name in request.headers.get("Connection", "").split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | CONSUMED_HEADERS | connection_headers
    headers = tuple(
        (name, value) for name, value in request.headers.items() if name.lower() not in dropped
    )
    return ForwardCall(
        request_id=request.headers.get(REQUEST_ID_HEADER, ""),
        method=request.method,
        target=request.raw_path,
        headers=headers,
        body=body,
    )


def _host_without_port(request: web.BaseRequest) -> str:
    return request.headers.get("Host", "").partition(":")[0].lower()


def _time_left_ms(request: web.BaseRequest) -> float | None:
    try:
        time_left_ms = float(request.headers[TIME_LEFT_HEADER])
    except (KeyError, ValueError):
        return None  # the timeout of the route applies
    return max(0.0, time_left_ms) if isfinite(time_left_ms) else None


def _reply_response(answer: ForwardReply | MergedAnswer) -> web.Response:
    if isinstance(answer, MergedAnswer):
        headers = CIMultiDict({PART_SIGNATURES_HEADER: ", ".join(answer.signatures)})
        if answer.missing_count:
            headers[MISSING_PARTS_HEADER] = str(answer.missing_count)
        return web.Response(body=answer.records, headers=headers)
    return web.Response(status=answer.status, body=answer.body, headers=CIMultiDict(answer.headers))


def _refusal_response(refusal: Refusal) -> web.Response:
    """Return the response for a refusal by this instance.

    The status is 503 only if the request did not run and never will, so that it may be retried.
    """
    headers = {}
    is_late = refusal.code in TIMED_OUT_CODES
    if refusal.code in REQUEST_ERROR_CODES and not is_late:
        status = http_status_of(refusal.code)
    elif refusal.ran is RunStatus.NOT_RUN:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        least_s = MIN_ROOM_RETRY_S if refusal.code is Code.NO_ROOM else MIN_RETRY_AFTER_S
        retry_after_s = max(least_s, (refusal.retry_after_ms or 0.0) / 1000.0)
        headers[RETRY_AFTER_HEADER] = f"{retry_after_s:.3f}".rstrip("0").rstrip(".")
    else:
        status = HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY
    return web.Response(status=status, text=f"{refusal}\n", headers=headers)

"""The common part of all HTTP APIs: request ids, limits, and errors as refusals with a code."""

import asyncio
import re
import traceback
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Protocol

from aiohttp import web
from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.border._metrics import RequestMetrics
from radishmount.border._request_body import read_request_body
from radishmount.border._responses import CHUNKS, RESULT_NAME, refusal_response
from radishmount.border._shielded_tasks import ShieldedTasks
from radishmount.clock import loop_clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.counters import Counters


__all__ = [
    "HttpService",
    "body_of",
    "elapsed_ms",
    "make_http_app",
    "request_id_of",
]

REQUEST_ID_HEADER = "X-Request-Id"
REQUEST_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
REQUEST_ID = web.RequestKey("request_id", str)
BODY = web.RequestKey("body", bytes)
ARRIVED_AT_MS = web.RequestKey("arrived_at_ms", float)
BODY_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 30.0
UNREGISTERED_PATH = "other"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpService(Protocol):
    """What all HTTP APIs need from an instance; implemented by `Node` and `Gateway`."""

    audit: AuditTrail
    counters: Counters

    def new_request_id(self) -> str:
        """Return a new, unique request id."""

    def is_leaving(self) -> bool:
        """Return whether the instance is leaving, so that callers should use another one."""


def request_id_of(request: web.Request) -> str:
    """Return the id of `request`, from its header or newly made."""
    return request[REQUEST_ID]


def body_of(request: web.Request) -> bytes:
    """Return the body of `request`, which was read before its handler."""
    return request[BODY]


def elapsed_ms(request: web.Request) -> float:
    """Return the time since the head of `request` arrived, in milliseconds."""
    clock = loop_clock(asyncio.get_running_loop())
    return clock.now_ms() - request[ARRIVED_AT_MS]


def make_http_app(
    service: HttpService,
    metrics: RequestMetrics,
    *,
    max_body_bytes: int,
    cancellable: frozenset[str] = frozenset(),
) -> web.Application:
    """Return an application that answers each request with a result or a refusal.

    Its middleware sets the request id, reads the body within limits of size and time, turns every
    error into a refusal, and sends the response within a time limit, so that a client that neither
    sends nor reads cannot occupy a task for ever. When the client disconnects, a request is
    finished all the same, unless its path is in `cancellable`.
    """
    shielded = ShieldedTasks()

    @web.middleware
    async def handle_with_limits(request: web.Request, handler: Handler) -> web.StreamResponse:
        clock = loop_clock(asyncio.get_running_loop())
        request[ARRIVED_AT_MS] = clock.now_ms()
        path = _registered_path_of(request)
        result_name = Code.CANCELLED.name
        metrics.request_started()
        try:
            refused = await _prepare(request, service)
            if refused is not None:
                response = refused
            elif path in cancellable:
                response = await _handle(request, handler, service)
            else:
                response = await shielded.run(_handle(request, handler, service))
            result_name = response.get(RESULT_NAME, _result_name_of_status(response.status))
            if service.is_leaving():
                response.force_close()
            await _send(request, response, service)
        finally:
            metrics.request_ended(path, result_name, clock.now_ms() - request[ARRIVED_AT_MS])
        return response

    app = web.Application(client_max_size=max_body_bytes, middlewares=[handle_with_limits])
    app.on_cleanup.append(shielded.wait_until_done)
    return app


async def _prepare(request: web.Request, service: HttpService) -> web.StreamResponse | None:
    """Set the id of `request` and read its body; return a refusal if either is invalid."""
    match _read_request_id(request):
        case Err(refusal):
            request[REQUEST_ID] = service.new_request_id()
            return refusal_response(refusal, request[REQUEST_ID])
        case Ok(request_id):
            request[REQUEST_ID] = request_id or service.new_request_id()
    body = await read_request_body(request, BODY_TIMEOUT_S)
    if isinstance(body, Refusal):
        return _refuse_unread_body(request, body)
    request[BODY] = body
    return None


async def _handle(
    request: web.Request, handler: Handler, service: HttpService
) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPNotFound:
        return refusal_response(Refusal(Code.UNKNOWN_PATH, request.path), request[REQUEST_ID])
    except web.HTTPMethodNotAllowed:
        return refusal_response(Refusal(Code.BAD_METHOD, request.method), request[REQUEST_ID])
    except Exception as error:
        return _internal_error_response(request, error, service)


def _read_request_id(request: web.Request) -> Result[str, Refusal]:
    request_id = request.headers.get(REQUEST_ID_HEADER, "")
    if request_id and REQUEST_ID_PATTERN.fullmatch(request_id) is None:
        detail = f"{REQUEST_ID_HEADER} takes at most 128 visible ASCII characters"
        return Err(Refusal(Code.BAD_REQUEST_ID, detail=detail))
    return Ok(request_id)


def _refuse_unread_body(request: web.Request, refusal: Refusal) -> web.StreamResponse:
    """Refuse a request whose body was not read completely, and close its connection."""
    response = refusal_response(refusal, request[REQUEST_ID])
    response.force_close()
    return response


def _internal_error_response(
    request: web.Request, error: Exception, service: HttpService
) -> web.StreamResponse:
    """Return the refusal after an unexpected error; it is unknown whether the request ran.

    The first error at each line of code is recorded in the audit trail.
    """
    last = traceback.extract_tb(error.__traceback__)[-1]
    place = f"{last.name}:{last.lineno}"
    is_first = service.counters.value("internal_errors", place) == 0
    service.counters.add("internal_errors", place)
    if is_first:
        subject = f"request/{request[REQUEST_ID]}"
        cause = f"{type(error).__name__} in {place}: {error}"
        service.audit.record(subject, "internal error", cause=cause)
    refusal = Refusal(Code.INTERNAL, detail=type(error).__name__, ran=RunStatus.UNKNOWN)
    return refusal_response(refusal, request[REQUEST_ID])


async def _send(request: web.Request, response: web.StreamResponse, service: HttpService) -> None:
    """Send `response`; abort the connection if the client does not read it in time."""
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await response.prepare(request)
            for chunk in response.get(CHUNKS, ()):
                await response.write(chunk)
            await response.write_eof()
    except TimeoutError:
        service.counters.add("answers_not_read")
        if request.transport is not None:
            request.transport.abort()


def _result_name_of_status(status: int) -> str:
    """Return the result name in metrics for a response without a code."""
    return "OK" if status < HTTPStatus.BAD_REQUEST else f"HTTP_{status}"


def _registered_path_of(request: web.Request) -> str:
    """Return the registered path pattern, which keeps the number of metric series small."""
    resource = request.match_info.route.resource
    return UNREGISTERED_PATH if resource is None else resource.canonical

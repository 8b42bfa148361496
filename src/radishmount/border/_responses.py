"""HTTP responses: refusals with code and run status, JSON, and chunked JSON."""

import json
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web

from radishmount.codes import TEXT_BY_CODE, Code, Refusal


__all__ = [
    "CHUNKS",
    "RESULT_NAME",
    "chunked_response",
    "code_json",
    "encode_json",
    "json_response",
    "refusal_response",
    "http_status_of",
]

RESULT_NAME = web.ResponseKey("result_name", str)
CHUNKS = web.ResponseKey("chunks", Iterator)
STATUS_BY_CODE = {
    Code.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Code.BODY_TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    Code.HEADER_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Code.UNKNOWN_ROUTE: HTTPStatus.NOT_FOUND,
    Code.UNKNOWN_COLLECTION: HTTPStatus.NOT_FOUND,
    Code.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Code.UNKNOWN_PATH: HTTPStatus.NOT_FOUND,
    Code.UNKNOWN_REQUEST: HTTPStatus.NOT_FOUND,
    Code.UNKNOWN_TICKET: HTTPStatus.NOT_FOUND,
    Code.BAD_METHOD: HTTPStatus.METHOD_NOT_ALLOWED,
    Code.UNKNOWN_CALLER: HTTPStatus.FORBIDDEN,
    Code.NO_RULE: HTTPStatus.FORBIDDEN,
    Code.OVER_QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
    Code.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    Code.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    Code.KEY_CONFLICT: HTTPStatus.CONFLICT,
    Code.TICKET_EXPIRED: HTTPStatus.GONE,
    Code.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}
MIN_UNAVAILABLE_CODE = 2000
RETRY_LATER_CODES = frozenset(
    {Code.OVER_QUOTA, Code.OVERLOADED, Code.NOT_READY, Code.TOO_MUCH_HELD}
)
RETRY_AFTER_S = "1"


def http_status_of(code: Code) -> HTTPStatus:
    """Return the HTTP status for `code`."""
    if code in STATUS_BY_CODE:
        return STATUS_BY_CODE[code]
    if code < MIN_UNAVAILABLE_CODE:
        return HTTPStatus.BAD_REQUEST
    return HTTPStatus.SERVICE_UNAVAILABLE


def code_json(code: Code) -> dict[str, Any]:
    """Return a code as responses contain it: number, name and text."""
    return {"number": code.value, "name": code.name, "text": TEXT_BY_CODE[code]}


def refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the response for `refusal`."""
    error = {
        **code_json(refusal.code),
        "detail": _printable(refusal.detail),
        "ran": refusal.ran.value,
    }
    content = {"request_id": request_id, "error": error}
    response = json_response(content, request_id, http_status_of(refusal.code))
    response[RESULT_NAME] = refusal.code.name
    if refusal.code in RETRY_LATER_CODES:
        response.headers["Retry-After"] = RETRY_AFTER_S
    return response


def encode_json(content: Any) -> bytes:
    """Encode `content` as JSON; integers above 64 bits, as endpoints may send them, included."""
    try:
        return orjson.dumps(content)
    except TypeError:
        return json.dumps(content).encode()


def json_response(
    content: dict[str, Any], request_id: str = "", status: HTTPStatus = HTTPStatus.OK
) -> web.Response:
    """Return a response with `content` as JSON, and with the header for `request_id`."""
    return web.Response(
        body=encode_json(content),
        status=status,
        content_type="application/json",
        headers={"X-Request-Id": request_id} if request_id else {},
    )


def chunked_response(chunks: Iterator[bytes], request_id: str) -> web.StreamResponse:
    """Return a JSON response whose chunks are generated and sent one by one."""
    response = web.StreamResponse(
        headers={"X-Request-Id": request_id, "Content-Type": "application/json"}
    )
    response.enable_chunked_encoding()
    response[CHUNKS] = chunks
    return response


def _printable(detail: str) -> str:
    """Escape what UTF-8 cannot encode in `detail`, such as undecodable bytes of a path."""
    return detail.encode("utf-8", "backslashreplace").decode("utf-8")

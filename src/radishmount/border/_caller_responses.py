"""The responses to callers for addresses and searches; large ones are sent in chunks."""

from collections.abc import Iterator
from typing import Any

from aiohttp import HttpVersion11, web

from radishmount.border._http import request_id_of
from radishmount.border._responses import (
    RESULT_NAME,
    chunked_response,
    code_json,
    encode_json,
    json_response,
    refusal_response,
)
from radishmount.codes import Code, Refusal
from radishmount.endpoints import Row
from radishmount.fleet import AddressAnswer
from radishmount.queries import SearchAnswer


__all__ = ["address_response", "search_response"]

ROWS_PER_CHUNK = 200


def address_response(answer: AddressAnswer, request_id: str) -> web.StreamResponse:
    """Return the response with the addresses to use, or a refusal if no instance is known."""
    if not answer.instances:
        return refusal_response(Refusal(Code.NOT_READY, detail="no instance is known"), request_id)
    addresses = [
        {"name": i.name, "address": i.caller_address, "data_centre": i.data_centre}
        for i in answer.instances
    ]
    content = {"addresses": addresses, "valid_for_ms": answer.valid_for_ms}
    return json_response(content, request_id)


def search_response(answer: SearchAnswer, request: web.Request) -> web.StreamResponse:
    """Return the response to a search, in chunks if it has more than `ROWS_PER_CHUNK` rows."""
    request_id = request_id_of(request)
    if len(answer.rows) > ROWS_PER_CHUNK and request.version >= HttpVersion11:
        response = chunked_response(_encode_chunks(answer), request_id)
    else:
        content = {**_summary_json(answer), "rows": [_row_json(row) for row in answer.rows]}
        response = json_response(content, request_id)
    if not answer.coverage.complete:
        response[RESULT_NAME] = Code.PARTIAL.name
    return response


def _encode_chunks(answer: SearchAnswer) -> Iterator[bytes]:
    """Yield the JSON of `answer` in chunks; coverage and version come before the rows."""
    yield encode_json(_summary_json(answer)).removesuffix(b"}") + b',"rows":['
    separator = b""
    for start in range(0, len(answer.rows), ROWS_PER_CHUNK):
        rows = [_row_json(row) for row in answer.rows[start : start + ROWS_PER_CHUNK]]
        yield separator + encode_json(rows).removeprefix(b"[").removesuffix(b"]")
        separator = b","
    yield b"]}"


def _summary_json(answer: SearchAnswer) -> dict[str, Any]:
    coverage = answer.coverage
    head: dict[str, Any] = {
        "request_id": answer.request_id,
        "index_version": answer.index_version,
        "complete": coverage.complete,
        "coverage": {
            "ratio": coverage.ratio,
            "covered": coverage.covered,
            "missing": coverage.missing,
        },
        "sub_requests": answer.sub_requests,
    }
    if not coverage.complete:
        head["code"] = code_json(Code.PARTIAL)
    return head


def _row_json(row: Row) -> dict[str, Any]:
    return {"key": row.key, "score": row.score, "fields": row.fields}

"""Reads the body of a request, within its limits and those of the whole instance."""

import asyncio

from aiohttp import web

from radishmount.border._client_connection import ClientConnection
from radishmount.border._error_frames import forget_frames
from radishmount.codes import Code, Refusal


__all__ = ["read_request_body"]

FIELD_FRAMING_BYTES = 4  # the colon, the space and the line end of a header field


async def read_request_body(request: web.BaseRequest, timeout_s: float) -> bytes | Refusal:
    """Return the body of `request`, or why it is refused; a refused request has not run.

    While the instance holds much for its clients, a body that has had its fair part waits for room.
    Raises ConnectionResetError if the client closes the connection. The stream of the body keeps
    the error that ended it, whose frames would keep what had been read of the body.
    """
    connection = request.protocol
    assert isinstance(connection, ClientConnection)
    if connection.may_have_large_head and _field_bytes(request) > connection.max_header_bytes:
        return Refusal(Code.HEADER_TOO_LARGE)
    if not request.can_read_body:
        return b""
    if connection.body_refusal is not None and not request.content.is_eof():
        return connection.body_refusal
    max_bytes = request.client_max_size
    if (request.content_length or 0) > max_bytes:
        return Refusal(Code.BODY_TOO_LARGE)
    try:
        async with asyncio.timeout(timeout_s) as timeout:
            connection.body_timeout = timeout
            return await _read_within(request, connection, max_bytes)
    except TimeoutError:
        return connection.body_refusal or Refusal(Code.BODY_TOO_SLOW)
    except web.RequestPayloadError as error:
        forget_frames(error)
        connection.stop_reading()
        return Refusal(Code.BAD_HTTP, detail=str(error))
    except ConnectionError as error:
        forget_frames(error)
        raise ConnectionResetError("the client closed the connection") from None
    finally:
        connection.body_timeout = None


async def _read_within(
    request: web.BaseRequest, connection: ClientConnection, max_bytes: int
) -> bytes | Refusal:
    account = connection.account
    body = bytearray()
    while True:
        if account.must_wait() and not await account.port.wait_for_room(account):
            return Refusal(Code.TOO_MUCH_HELD, retry_after_ms=1_000.0)
        part = await request.content.readany()
        if not part:
            return bytes(body)
        body += part
        if len(body) > max_bytes:
            return Refusal(Code.BODY_TOO_LARGE)


def _field_bytes(request: web.BaseRequest) -> int:
    """Return the size of all header fields."""
    total = 0
    for name, value in request.raw_headers:
        total += len(name) + len(value) + FIELD_FRAMING_BYTES
    return total

"""Reads one HTTP/1.1 response of a back end, within bounds on its bytes."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import httptools


__all__ = [
    "CompleteResponse",
    "ResponseReader",
    "ResponseRejectedError",
]

MAX_HEAD_BYTES = 32_768  # twice the limit for callers
MAX_FIELDS = 500  # about four times the limit for callers
FIELD_BYTES = 400  # the objects of one header field, beside its bytes
MAX_INTERIM_RESPONSES = 8
STATUS_CODES = range(100, 600)  # RFC 9110, section 15; others are no answer that may be passed on
# Beyond this, the framing of a body may take as many bytes as the body: small chunks cost far more
# processor time for each byte than large ones.
MAX_FRAMING_BYTES = 65_536

RawHeaders = list[tuple[bytes, bytes]]


class ResponseRejectedError(Exception):
    """The bytes of a back end are no response, or more than this instance accepts."""


@dataclass(slots=True)
class CompleteResponse:
    """A response that was received to its end. The names in `headers` are as they were sent.

    `by_name` has the first value of each header under its name in lower case. `received_bytes`
    includes the head and the framing.
    """

    status: int
    headers: RawHeaders
    by_name: dict[bytes, bytes]
    body: bytes
    received_bytes: int = 0


class ResponseReader:
    """Takes the bytes of a connection until one response is complete.

    The body is kept in one piece, so its memory does not depend on how it is chunked; `make_body`
    copies it once it is complete.

    Interim responses (100 to 199) before it are skipped; a status that HTTP does not define is
    rejected. After each call of `feed` or `end`,
    `response` is the complete response or `rejection` tells why there will be none; as long as
    both are None, more bytes are needed. The connection may be used again only if `is_reusable`.

        reader = ResponseReader(max_body_bytes=4096, has_body=True)
        reader.feed(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok")
        assert reader.response.body == b"ok"
    """

    __slots__ = (
        "_body",
        "_by_name",
        "_expects_body",
        "_head_bytes",
        "_headers",
        "_interim_responses",
        "_is_framed",
        "_is_head_complete",
        "_keeps_alive",
        "_make_body",
        "_max_body_bytes",
        "_parser",
        "_received_bytes",
        "_surplus",
        "rejection",
        "response",
    )

    def __init__(
        self,
        max_body_bytes: int,
        *,
        has_body: bool,
        make_body: Callable[[bytearray], bytes] = bytes,
    ) -> None:
        self._make_body = make_body
        self._max_body_bytes = max_body_bytes
        self._expects_body = has_body
        self._headers: RawHeaders = []
        self._by_name: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._received_bytes = 0
        self._head_bytes = 0
        self._interim_responses = 0
        self._is_framed = False
        self._is_head_complete = False
        self._keeps_alive = False
        self._surplus = False
        self.response: CompleteResponse | None = None
        self.rejection: str | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)

    @property
    def is_reusable(self) -> bool:
        """Return whether the response ended with its last byte and the connection stays open."""
        return self.response is not None and self._keeps_alive and not self._surplus

    def close(self) -> None:
        """Let go of the parser, which refers to the reader; no more bytes may be fed.

        Until then both would keep the body until the cyclic garbage collector has run.
        """
        self._parser = None

    @property
    def overhead_bytes(self) -> int:
        """Return what is held beside the bytes that were received.

        Header fields are objects. A body leaves gaps as it grows, and is copied at its end.
        """
        return FIELD_BYTES * len(self._headers) + len(self._body)

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection."""
        assert self._parser is not None
        self._received_bytes += len(data)
        if not self._is_head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject("the back end switched to another protocol")
        except httptools.HttpParserError as error:
            self._surplus = True
            self._reject(repr(error))
        if not self._is_head_complete and self._head_bytes > MAX_HEAD_BYTES:
            self._reject("the head is too long")
        if self._received_bytes > MAX_HEAD_BYTES + MAX_FRAMING_BYTES + 2 * len(self._body):
            self._reject("the body is mostly framing")

    def end(self) -> None:
        """Take the orderly end of the connection, which completes a body without a length."""
        if self._is_head_complete and not self._is_framed:
            self._complete()

    def on_message_begin(self) -> None:
        """Note bytes that follow the complete response."""
        if self.response is not None:
            self._surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header; in a trailer, it is not a header of the response.

        The exception ends the parsing of the bytes that came with it.
        """
        if self._is_head_complete:
            return
        if len(self._headers) == MAX_FIELDS:
            self._reject("the head has too many fields")
            raise ResponseRejectedError(self.rejection)
        self._headers.append((name, value))
        self._by_name.setdefault(name.lower(), value)

    def on_headers_complete(self) -> None:
        """Take the end of a head."""
        if self._is_head_complete:
            return
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status not in STATUS_CODES:
            self._reject(f"the status is {status:03}")
            return
        if status < HTTPStatus.OK:
            self._skip_interim_response()
            return
        self._is_head_complete = True
        if sum(len(name) + len(value) for name, value in self._headers) > MAX_HEAD_BYTES:
            self._reject("the head is too long")
        if not self._expects_body:
            self._complete()
            return
        declared = self._by_name.get(b"content-length")
        self._is_framed = declared is not None or b"transfer-encoding" in self._by_name
        if declared is not None and int(declared) > self._max_body_bytes:
            self._reject(f"a body of {int(declared)} bytes was announced")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self.response is not None:
            self._surplus = True
            return
        self._body += data

    def on_message_complete(self) -> None:
        """Take the end of a response."""
        if self._is_head_complete and self.response is None:
            self._complete()

    def _skip_interim_response(self) -> None:
        self._interim_responses += 1
        self._headers.clear()
        self._by_name.clear()
        self._head_bytes = 0
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            self._reject("too many interim responses")

    def _complete(self) -> None:
        if self.rejection is not None:
            return
        assert self._parser is not None
        self._keeps_alive = self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        self.response = CompleteResponse(
            status,
            self._headers,
            self._by_name,
            self._make_body(self._body),
            self._received_bytes,
        )

    def _reject(self, reason: str) -> None:
        if self.response is None and self.rejection is None:
            self.rejection = reason

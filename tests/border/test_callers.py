"""Tests of the HTTP API for callers, with a fake instance behind it."""

import asyncio
import gzip
import json

import aiohttp
import pytest

from fake_service import FakeService, send_raw, serve_fake
from radishmount.border import _callers, _http, _serve
from radishmount.codes import Code, Refusal


SEARCH = {"caller": "workshop", "collection": "catalogue", "text": "washi"}


async def post_search(address: str, body: object, **headers: str) -> tuple[int, dict]:
    """Post a search and return status and JSON; a `body` of bytes is sent unchanged."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    async with (
        aiohttp.ClientSession() as http,
        http.post(f"http://{address}/v1/search", data=data, headers=headers) as response,
    ):
        return response.status, await response.json()


def request_head(length: int) -> bytes:
    return b"POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % length


class TestBadBodies:
    """Each kind of invalid body is refused with its code, and does not reach the instance."""

    @pytest.mark.parametrize(
        ("body", "name"),
        [
            (b"", "BAD_BODY"),
            (b"{", "BAD_BODY"),
            (b"[]", "BAD_BODY"),
            (b"\xff\xfe", "BAD_BODY"),
            (b'{"caller": NaN}', "BAD_BODY"),
            (b"[" * 60_000, "BAD_BODY"),
            ({**SEARCH, "colour": "red"}, "BAD_FIELD"),
            ({**SEARCH, "text": 7}, "BAD_FIELD"),
            ({**SEARCH, "limit": "7"}, "BAD_FIELD"),
            ({**SEARCH, "limit": 10**30}, "BAD_FIELD"),
            ({**SEARCH, "limit": 0}, "BAD_FIELD"),
            ({**SEARCH, "deadline_ms": "soon"}, "BAD_FIELD"),
            (b'{"caller":"a","collection":"b","text":"c","deadline_ms":1e999}', "BAD_BODY"),
            ({**SEARCH, "keys": {"from": "m", "to": "a"}}, "BAD_FIELD"),
            ({"caller": "workshop"}, "BAD_FIELD"),
            ({**SEARCH, "deadline_ms": 0}, "DEADLINE_PASSED"),
            ({**SEARCH, "deadline_ms": -5}, "DEADLINE_PASSED"),
            ({**SEARCH, "text": "x" * 70_000}, "BODY_TOO_LARGE"),
        ],
    )
    async def test_an_invalid_body_is_refused_as_not_run(self, body: object, name: str) -> None:
        service = FakeService()
        async with serve_fake(service) as address:
            status, content = await post_search(address, body)

        assert content["error"]["name"] == name
        assert content["error"]["ran"] == "not-run"
        assert 400 <= status < 600
        assert service.calls == []

    async def test_a_compressed_body_is_not_decompressed(self) -> None:
        service = FakeService()
        body = gzip.compress(b" " * 10_000_000 + json.dumps(SEARCH).encode())
        async with serve_fake(service) as address:
            _, content = await post_search(address, body, **{"Content-Encoding": "gzip"})

        assert content["error"]["name"] == "BAD_BODY"
        assert service.calls == []

    async def test_a_slow_body_is_refused(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_http, "BODY_TIMEOUT_S", 0.05)
        monkeypatch.setattr(_serve, "HANDLER_OPTIONS", {"lingering_time": 0.05})
        async with serve_fake(FakeService()) as address:
            answer = await send_raw(address, request_head(100), b"{")

        assert b" 408 " in answer.splitlines()[0]
        assert b'"name":"BODY_TOO_SLOW"' in answer

    async def test_an_idle_connection_is_closed(self) -> None:
        async with serve_fake(FakeService(), idle_timeout_s=0.05) as address:
            assert await send_raw(address) == b""
            assert await send_raw(address, b"POST /v1/sea") == b""

    async def test_a_caller_that_does_not_read_the_response_is_disconnected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_http, "SEND_TIMEOUT_S", 0.05)
        service = FakeService(row_count=200_000)
        body = json.dumps(SEARCH).encode()
        async with serve_fake(service) as address:
            host, _, port = address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
            writer.write(request_head(len(body)) + body)
            while not service.counters.value("answers_not_read"):
                await asyncio.sleep(0.01)
            answer = await reader.read()
            writer.close()

        assert answer.startswith(b"HTTP/1.1 200 OK")
        assert not answer.endswith(b"0\r\n\r\n")


class TestBadHttp:
    """Invalid HTTP, paths and methods are refused with a code too."""

    @pytest.mark.parametrize(
        "sent",
        [
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
            b"GET\r\n\r\n",
            b"POST /v1/search HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            b"POST /v1/search HTTP/1.1\r\nno colon\r\n\r\n",
            b"POST /v1/search HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ],
    )
    async def test_invalid_http_is_refused_with_a_code(self, sent: bytes) -> None:
        async with serve_fake(FakeService()) as address:
            answer = await send_raw(address, sent)

        assert b" 400 " in answer.splitlines()[0]
        assert b'"name":"BAD_HTTP"' in answer

    async def test_a_line_that_is_too_long_has_its_own_code(self) -> None:
        async with serve_fake(FakeService()) as address:
            answer = await send_raw(address, b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n\r\n")

        assert b" 431 " in answer.splitlines()[0]
        assert b'"name":"HEADER_TOO_LARGE"' in answer

    @pytest.mark.parametrize(
        ("request_line", "name"),
        [
            (b"GET /v1/nothing", b"UNKNOWN_PATH"),
            (b"GET /%ff%fe", b"UNKNOWN_PATH"),
            (b"DELETE /v1/search", b"BAD_METHOD"),
            (b"GET /v1/addresses", b"BAD_FIELD"),
            (b"GET /v1/addresses?caller=workshop&colour=red", b"BAD_FIELD"),
            (b"GET /v1/addresses?caller=nobody", b"UNKNOWN_CALLER"),
        ],
    )
    async def test_wrong_paths_and_methods_are_refused_with_a_code(
        self, request_line: bytes, name: bytes
    ) -> None:
        head = request_line + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        async with serve_fake(FakeService()) as address:
            answer = await send_raw(address, head)

        assert b'"name":"' + name + b'"' in answer

    async def test_a_connection_above_the_limit_is_closed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_serve, "MAX_CONNECTIONS", 0)
        async with serve_fake(FakeService()) as address:
            assert await send_raw(address, b"GET / HTTP/1.1\r\n\r\n") == b""


class TestRequestId:
    """The request id is taken from the header, checked, and returned."""

    async def test_the_given_id_is_returned(self) -> None:
        async with serve_fake(FakeService()) as address:
            _, content = await post_search(address, SEARCH, **{"X-Request-Id": "mine-1"})

        assert content["request_id"] == "mine-1"

    async def test_an_id_is_made_if_none_is_given(self) -> None:
        async with serve_fake(FakeService()) as address:
            _, content = await post_search(address, SEARCH)

        assert content["request_id"] == "made-1"

    @pytest.mark.parametrize("given", [b"x" * 129, b"a b", b"caf\xc3\xa9", b"\xff"])
    async def test_an_id_that_cannot_be_logged_is_refused(self, given: bytes) -> None:
        service = FakeService()
        head = b"POST /v1/search HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Request-Id: "
        async with serve_fake(service) as address:
            answer = await send_raw(address, head + given + b"\r\nContent-Length: 0\r\n\r\n")

        assert b'"name":"BAD_REQUEST_ID"' in answer
        assert b'"request_id":"made-1"' in answer


class TestResponses:
    """Complete, partial, large and failed responses."""

    async def test_a_partial_response_is_marked(self) -> None:
        async with serve_fake(FakeService(missing=("high",))) as address:
            status, content = await post_search(address, SEARCH)

        assert status == 200
        assert content["complete"] is False
        assert content["coverage"]["missing"] == ["high"]
        assert content["code"]["number"] == 3012

    async def test_a_large_response_is_sent_in_chunks(self) -> None:
        async with (
            serve_fake(FakeService(row_count=1001)) as address,
            aiohttp.ClientSession() as http,
            http.post(f"http://{address}/v1/search", json=SEARCH) as response,
        ):
            content = await response.json()

        assert response.headers["Transfer-Encoding"] == "chunked"
        assert [row["fields"]["n"] for row in content["rows"]] == list(range(1001))

    async def test_a_large_response_to_an_http_1_0_client_is_not_chunked(self) -> None:
        body = json.dumps(SEARCH).encode()
        head = request_head(len(body)).replace(b"HTTP/1.1", b"HTTP/1.0")
        async with serve_fake(FakeService(row_count=1001)) as address:
            answer = await send_raw(address, head + body)

        _, _, content = answer.partition(b"\r\n\r\n")
        assert len(json.loads(content)["rows"]) == 1001

    async def test_after_an_unexpected_error_the_run_status_is_unknown(self) -> None:
        service = FakeService(error=KeyError("secret"))
        async with serve_fake(service) as address:
            status, content = await post_search(address, SEARCH)
            await post_search(address, SEARCH)

        assert status == 500
        assert content["error"]["number"] == 9001
        assert content["error"]["ran"] == "unknown"
        assert "secret" not in json.dumps(content)
        counted = [k for k in service.counters.by_name if k[0] == "internal_errors"]
        assert len(counted) == 1
        assert [line.change for line in service.audit.lines] == ["internal error"]

    async def test_a_leaving_instance_answers_and_closes_the_connection(self) -> None:
        body = json.dumps(SEARCH).encode()
        async with serve_fake(FakeService(leaving=True)) as address:
            answer = await send_raw(address, request_head(len(body)) + body)

        assert b"connection: close" in answer.lower()
        assert b'"complete":true' in answer

    async def test_the_time_to_receive_the_body_counts_towards_the_deadline(self) -> None:
        service = FakeService(leaving=True)
        body = json.dumps({**SEARCH, "deadline_ms": 20.0}).encode()
        async with serve_fake(service) as address:
            answer = await send_raw(
                address, request_head(len(body)) + body[:5], body[5:], b"\r\n", pause_s=0.05
            )

        assert b'"name":"DEADLINE_PASSED"' in answer
        assert service.calls == []

    async def test_100_continue_is_sent_to_a_caller_that_expects_it(self) -> None:
        body = json.dumps(SEARCH).encode()
        head = request_head(len(body)).replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")
        async with serve_fake(FakeService(leaving=True)) as address:
            answer = await send_raw(address, head, body, pause_s=0.01)

        assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n")

    async def test_an_integer_above_64_bits_is_passed_on_unchanged(self) -> None:
        async with serve_fake(FakeService(extra_fields={"lot": 2**70})) as address:
            status, content = await post_search(address, SEARCH)

        assert status == 200
        assert content["rows"][0]["fields"]["lot"] == 2**70


async def send_and_disconnect(address: str, service: FakeService) -> None:
    """Send a search, wait until it has reached the instance, and disconnect."""
    host, _, port = address.partition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    body = json.dumps(SEARCH).encode()
    writer.write(request_head(len(body)) + body)
    while not service.calls:
        await asyncio.sleep(0.01)
    writer.close()


class TestRefusals:
    """Refusals by the instance."""

    async def test_a_refusal_that_is_temporary_has_a_retry_after_header(self) -> None:
        service = FakeService(refusal=Refusal(Code.OVER_QUOTA))
        async with (
            serve_fake(service) as address,
            aiohttp.ClientSession() as http,
            http.post(f"http://{address}/v1/search", json=SEARCH) as response,
        ):
            assert (response.status, response.headers["Retry-After"]) == (429, "1")


class TestCallersThatDisconnect:
    """A caller that closes its connection before the response."""

    async def test_cancels_its_search(self) -> None:
        service = FakeService(delay_s=60.0)
        async with serve_fake(service, cancel_on_disconnect=True) as address:
            await send_and_disconnect(address, service)
            while not service.search_outcomes:
                await asyncio.sleep(0.01)

        assert service.search_outcomes == ["cancelled"]

    async def test_does_not_cancel_a_request_that_must_be_finished(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_callers, "CANCELLABLE_PATHS", frozenset())
        service = FakeService(delay_s=0.1)
        async with serve_fake(service, cancel_on_disconnect=True) as address:
            await send_and_disconnect(address, service)

        # The server waits for the request when it stops.
        assert service.search_outcomes == ["completed"]

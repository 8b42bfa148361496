"""The callers' HTTP, with a fake instance behind it."""

import asyncio
import gzip
import json

import aiohttp
import pytest

from fake_service import FakeService, send_raw, serve_fake
from radishmount.border import _callers, _http, _serve
from radishmount.codes import Code, Refusal


SEARCH = {"caller": "workshop", "collection": "catalogue", "text": "washi"}


async def post(address: str, body: object, **headers: str) -> tuple[int, dict]:
    """Send one search; bytes are sent as they are."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    async with (
        aiohttp.ClientSession() as http,
        http.post(f"http://{address}/v1/search", data=data, headers=headers) as response,
    ):
        return response.status, await response.json()


def head_of(length: int) -> bytes:
    return b"POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % length


class TestBadBodies:
    """Each kind of wrong body has its number, and nothing reaches the instance."""

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
    async def test_is_refused_as_not_run(self, body: object, name: str) -> None:
        service = FakeService()
        async with serve_fake(service) as address:
            status, content = await post(address, body)

        assert content["error"]["name"] == name
        assert content["error"]["ran"] == "not-run"
        assert 400 <= status < 600
        assert service.calls == []

    async def test_a_compressed_body_is_not_expanded(self) -> None:
        service = FakeService()
        body = gzip.compress(b" " * 10_000_000 + json.dumps(SEARCH).encode())
        async with serve_fake(service) as address:
            _, content = await post(address, body, **{"Content-Encoding": "gzip"})

        assert content["error"]["name"] == "BAD_BODY"
        assert service.calls == []

    async def test_a_slow_body_is_refused(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_http, "BODY_TIMEOUT_S", 0.05)
        monkeypatch.setattr(_serve, "HANDLER_OPTIONS", {"lingering_time": 0.05})
        async with serve_fake(FakeService()) as address:
            answer = await send_raw(address, head_of(100), b"{")

        assert b" 408 " in answer.splitlines()[0]
        assert b'"name":"BODY_TOO_SLOW"' in answer

    async def test_a_connection_without_a_request_is_closed(self) -> None:
        async with serve_fake(FakeService(), idle_timeout_s=0.05) as address:
            assert await send_raw(address) == b""
            assert await send_raw(address, b"POST /v1/sea") == b""

    async def test_a_caller_that_does_not_read_loses_its_connection(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_http, "SEND_TIMEOUT_S", 0.05)
        service = FakeService(rows=200_000)
        body = json.dumps(SEARCH).encode()
        async with serve_fake(service) as address:
            host, _, port = address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
            writer.write(head_of(len(body)) + body)
            while not service.counters.value("answers_not_read"):
                await asyncio.sleep(0.01)
            answer = await reader.read()
            writer.close()

        assert answer.startswith(b"HTTP/1.1 200 OK")
        assert not answer.endswith(b"0\r\n\r\n")


class TestBadHttp:
    """What is no HTTP at all gets a number too."""

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
    async def test_is_refused_with_a_number(self, sent: bytes) -> None:
        async with serve_fake(FakeService()) as address:
            answer = await send_raw(address, sent)

        assert b" 400 " in answer.splitlines()[0]
        assert b'"name":"BAD_HTTP"' in answer

    async def test_a_line_that_is_too_long_has_a_number_of_its_own(self) -> None:
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
    async def test_wrong_paths_and_methods(self, request_line: bytes, name: bytes) -> None:
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
    """The id comes in, goes out, and is checked."""

    async def test_comes_back(self) -> None:
        async with serve_fake(FakeService()) as address:
            _, content = await post(address, SEARCH, **{"X-Request-Id": "mine-1"})

        assert content["request_id"] == "mine-1"

    async def test_is_made_when_there_is_none(self) -> None:
        async with serve_fake(FakeService()) as address:
            _, content = await post(address, SEARCH)

        assert content["request_id"] == "made-1"

    @pytest.mark.parametrize("given", [b"x" * 129, b"a b", b"caf\xc3\xa9", b"\xff"])
    async def test_is_refused_when_it_cannot_be_logged(self, given: bytes) -> None:
        service = FakeService()
        head = b"POST /v1/search HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Request-Id: "
        async with serve_fake(service) as address:
            answer = await send_raw(address, head + given + b"\r\nContent-Length: 0\r\n\r\n")

        assert b'"name":"BAD_REQUEST_ID"' in answer
        assert b'"request_id":"made-1"' in answer


class TestAnswers:
    """Whole, partial, large and failed answers."""

    async def test_a_partial_answer_is_marked(self) -> None:
        async with serve_fake(FakeService(missing=("high",))) as address:
            status, content = await post(address, SEARCH)

        assert status == 200
        assert content["complete"] is False
        assert content["coverage"]["missing"] == ["high"]
        assert content["code"]["number"] == 3012

    async def test_a_large_answer_comes_whole_in_chunks(self) -> None:
        async with (
            serve_fake(FakeService(rows=1001)) as address,
            aiohttp.ClientSession() as http,
            http.post(f"http://{address}/v1/search", json=SEARCH) as response,
        ):
            content = await response.json()

        assert response.headers["Transfer-Encoding"] == "chunked"
        assert [row["fields"]["n"] for row in content["rows"]] == list(range(1001))

    async def test_a_large_answer_for_an_old_client_has_no_chunks(self) -> None:
        body = json.dumps(SEARCH).encode()
        head = head_of(len(body)).replace(b"HTTP/1.1", b"HTTP/1.0")
        async with serve_fake(FakeService(rows=1001)) as address:
            answer = await send_raw(address, head + body)

        _, _, content = answer.partition(b"\r\n\r\n")
        assert len(json.loads(content)["rows"]) == 1001

    async def test_an_unexpected_error_tells_that_nobody_knows_whether_it_ran(self) -> None:
        service = FakeService(error=KeyError("secret"))
        async with serve_fake(service) as address:
            status, content = await post(address, SEARCH)
            await post(address, SEARCH)

        assert status == 500
        assert content["error"]["number"] == 9001
        assert content["error"]["ran"] == "unknown"
        assert "secret" not in json.dumps(content)
        counted = [k for k in service.counters.by_name if k[0] == "internal_errors"]
        assert len(counted) == 1
        assert [line.change for line in service.audit.lines] == ["internal error"]

    async def test_an_instance_that_leaves_closes_the_connection(self) -> None:
        body = json.dumps(SEARCH).encode()
        async with serve_fake(FakeService(leaving=True)) as address:
            answer = await send_raw(address, head_of(len(body)) + body)

        assert b"connection: close" in answer.lower()
        assert b'"complete":true' in answer

    async def test_the_time_spent_on_the_body_is_taken_off_the_deadline(self) -> None:
        service = FakeService(leaving=True)
        body = json.dumps({**SEARCH, "deadline_ms": 20.0}).encode()
        async with serve_fake(service) as address:
            answer = await send_raw(
                address, head_of(len(body)) + body[:5], body[5:], b"\r\n", pause_s=0.05
            )

        assert b'"name":"DEADLINE_PASSED"' in answer
        assert service.calls == []

    async def test_asks_for_the_body_when_the_caller_waits(self) -> None:
        body = json.dumps(SEARCH).encode()
        head = head_of(len(body)).replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")
        async with serve_fake(FakeService(leaving=True)) as address:
            answer = await send_raw(address, head, body, pause_s=0.01)

        assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n")

    async def test_a_number_above_64_bits_is_told_as_it_came(self) -> None:
        async with serve_fake(FakeService(fields={"lot": 2**70})) as address:
            status, content = await post(address, SEARCH)

        assert status == 200
        assert content["rows"][0]["fields"]["lot"] == 2**70


async def send_and_go(address: str, service: FakeService) -> None:
    """Send a search, wait until it has reached the instance, and close the connection."""
    host, _, port = address.partition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    body = json.dumps(SEARCH).encode()
    writer.write(head_of(len(body)) + body)
    while not service.calls:
        await asyncio.sleep(0.01)
    writer.close()


class TestRefusals:
    """What goes with the number."""

    async def test_tells_when_to_come_back(self) -> None:
        service = FakeService(refusal=Refusal(Code.OVER_QUOTA))
        async with (
            serve_fake(service) as address,
            aiohttp.ClientSession() as http,
            http.post(f"http://{address}/v1/search", json=SEARCH) as response,
        ):
            assert (response.status, response.headers["Retry-After"]) == (429, "1")


class TestCallersThatGo:
    """A caller that closes its connection before the answer."""

    async def test_ends_its_search(self) -> None:
        service = FakeService(slow_s=60.0)
        async with serve_fake(service, cancel_on_disconnect=True) as address:
            await send_and_go(address, service)
            while not service.ended:
                await asyncio.sleep(0.01)

        assert service.ended == ["cancelled"]

    async def test_does_not_end_what_must_not_be_left_half_done(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_callers, "ABANDONABLE_PATHS", frozenset())
        service = FakeService(slow_s=0.1)
        async with serve_fake(service, cancel_on_disconnect=True) as address:
            await send_and_go(address, service)

        # The server waits for it when it stops.
        assert service.ended == ["whole"]

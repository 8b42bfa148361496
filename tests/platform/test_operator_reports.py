"""Faults that operators of similar systems reported, each played through a whole instance.

`docs/decisions/0605-operator-reports.md` lists the reports, and the rule that prevents each.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import Any

import pytest

from platform_harness import (
    HOST,
    PlatformHarness,
    backend_entry,
    fan_out_route,
    single_route,
    start_platform_harness,
)
from radishmount.standins import ReceivedRequest


STOP_GRACE_MS = 2_000.0
KEPT_CONNECTIONS = 40
RECORD = b"record".ljust(16, b".")

Respond = Callable[[ReceivedRequest, str], bytes | None]


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield an instance that has no configuration yet."""
    started = await start_platform_harness()
    yield started
    await started.stop()


def complete_response(request: ReceivedRequest, name: str, body: bytes = RECORD) -> bytes:
    """Return a whole response to `request`."""
    return (
        f"HTTP/1.1 200 OK\r\nRadishmount-Request-Id: {request.request_id}\r\n"
        f"Radishmount-Server-Stamp: {name}.{request.request_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def truncated_after(length: int) -> Respond:
    """Return a responder that sends the first `length` bytes of a response."""
    return lambda request, name: complete_response(request, name)[:length]


async def send_and_read(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request_id: str
) -> bytes:
    """Send a request over a connection, and return the body of the answer, empty without one."""
    writer.write(
        f"GET /orders/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Radishmount-Request-Id: {request_id}\r\nRadishmount-Time-Left-Ms: 2000\r\n\r\n".encode()
    )
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""


class TestLateSecondAnswer:
    """A server sent an answer again, late, on a connection that was in use again."""

    async def test_the_next_caller_gets_its_own_answer(self, harness: PlatformHarness) -> None:
        earlier: list[ReceivedRequest] = []

        def repeat_earlier_answer(request: ReceivedRequest, name: str) -> bytes:
            """Send the answer to the request before, and then the right one."""
            late = complete_response(earlier[-1], name) if earlier else b""
            earlier.append(request)
            body = request.line.encode()
            return late + complete_response(request, name, body)

        await harness.add_back_end("orders", "b1", answer=repeat_earlier_answer)
        await harness.publish(3, single_route())
        for number in range(5):
            request_id = f"q{number}"
            status, headers, body = await harness.send_request(
                f"/orders/{request_id}", request_id=request_id
            )

            if status == 200:
                assert headers["Radishmount-Server-Stamp"] == f"b1.{request_id}"
                assert request_id.encode() in body


class TestPlannedStop:
    """Requests that had just been accepted were cut off during a planned stop under load."""

    @pytest.mark.parametrize("seed", range(3))
    async def test_every_request_that_was_passed_on_is_answered(
        self, harness: PlatformHarness, seed: int
    ) -> None:
        """Callers keep connections and send at any moment of the stop, also at its very end."""
        random = Random(seed)
        back_end = await harness.add_back_end("orders", "b1", work_ms=20.0)
        await harness.publish(3, single_route())
        address = harness.instance.servers[0].address
        connections = [
            await asyncio.open_connection(address.host, address.port)
            for _ in range(KEPT_CONNECTIONS)
        ]
        for number, (reader, writer) in enumerate(connections):
            assert await send_and_read(reader, writer, f"first-{number}")

        async def send_during_the_stop(number: int) -> tuple[str, bytes]:
            reader, writer = connections[number]
            await asyncio.sleep(random.uniform(0.0, 1.2 * STOP_GRACE_MS / 1000.0))
            request_id = f"during-{number}"
            body = await send_and_read(reader, writer, request_id)
            writer.close()
            return request_id, body

        callers = [asyncio.create_task(send_during_the_stop(n)) for n in range(KEPT_CONNECTIONS)]
        await harness.leave(STOP_GRACE_MS)
        answers = dict(await asyncio.gather(*callers))
        passed_on = {request.request_id for request in back_end.received}

        assert any(answers.values())
        assert [name for name, body in answers.items() if name in passed_on and not body] == []


class TestMalformedMessages:
    """One malformed message took a whole process down."""

    async def test_an_instance_serves_on_after_each_of_them(self, harness: PlatformHarness) -> None:
        await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())
        for value in (b"\xff\xfe", b"{", b"[]", b'{"version": "x"}', b"null", b"9" * 5_000):
            await harness.store.put("op/config", value)
            await harness.store.put("servers/b1-other", value)
        servers = [*(server.address for server in harness.instance.servers)]
        servers.append(harness.instance.peers.address)
        for address in servers:
            for content in (b"\x00" * 100, b"GET / HTTP/9.9\r\n\r\n", b"\xc1" * 9, b"A" * 70_000):
                reader, writer = await asyncio.open_connection(address.host, address.port)
                writer.write(content)
                writer.write_eof()
                try:
                    async with asyncio.timeout(5.0):
                        await reader.read()
                except ConnectionError:
                    pass
                writer.close()
        await harness.publish(4, single_route())

        assert (await harness.send_request("/orders/7"))[0] == 200


class TestOddEntries:
    """Odd entries of another writer: processes ended again and again, or followed no longer."""

    async def test_the_others_are_followed_and_served(self, harness: PlatformHarness) -> None:
        await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route(routeType="unsafe", maxAttempts=1))
        sound = backend_entry(harness.back_ends[0], "orders")
        nested = b'{"service":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        odd_entries: list[Any] = [nested, b"1e999", b"9" * 400, b'"\\ud800"']
        for field, values in {
            "slots": (2**63, 2**64, -1, 1e300),
            "coldLeftMs": (1e308, -1.0, 2**70),
            "born": (2**63, -(2**63), 1e30),
            "address": ("127.0..1:80", "127.0.0.1:82260", "127.0.0.1:0", ":80", "host:80"),
            "zone": ("", "z" * 1_000, {}),
            "service": ("", "s" * 1_000, []),
        }.items():
            odd_entries += [json.dumps({**sound, field: value}).encode() for value in values]
        for number, value in enumerate(odd_entries):
            await harness.store.put(f"servers/odd-{number}", value)
        await harness.store.put("servers/odd\r\nX-Own: 1", sound)
        await harness.add_back_end("orders", "b2")
        await harness.publish(4, single_route(routeType="unsafe", maxAttempts=1))
        statuses = [
            (await harness.send_request("/orders/7", "POST", f"q{number}", data=b"x"))[0]
            for number in range(40)
        ]

        assert set(harness.instance.gateway.endpoints.by_name) == {"b1", "b2"}
        assert statuses == [200] * 40
        assert sum(len(back_end.received) for back_end in harness.back_ends) == 40


class TestLostAnswers:
    """Work that had run was run again, or the caller was told that it had not run."""

    @pytest.mark.parametrize("length", [0, 12, 40, 90, 110])
    async def test_a_request_that_must_not_run_twice_is_sent_once_and_may_have_run(
        self, harness: PlatformHarness, length: int
    ) -> None:
        back_ends = [
            await harness.add_back_end(
                "orders", name, answer=truncated_after(length), closes_after_reply=True
            )
            for name in ("b1", "b2")
        ]
        await harness.publish(3, single_route(routeType="unsafe"))
        status, headers, _ = await harness.send_request("/orders/7", method="POST", data=b"x")

        assert status == 502
        assert "Radishmount-Server-Stamp" not in headers
        assert sum(len(back_end.received) for back_end in back_ends) == 1


class TestTruncatedHead:
    """A backend closed in the middle of a head; callers got a 200 with a short body as whole."""

    async def test_no_cut_of_a_response_becomes_a_success(self, harness: PlatformHarness) -> None:
        request = ReceivedRequest("", {"radishmount-request-id": "q1"}, b"", 1)
        whole = len(complete_response(request, "b1"))
        back_end = await harness.add_back_end("orders", "b1", closes_after_reply=True)
        await harness.publish(3, single_route(maxAttempts=1))
        for length in range(0, whole, 3):
            back_end.answer = truncated_after(length)
            status, _, _ = await harness.send_request("/orders/7")

            assert status == 502, length

    async def test_a_cut_part_is_missing_in_a_merged_answer(self, harness: PlatformHarness) -> None:
        await harness.add_back_end("s1", "b1", answer=complete_response)
        cut = await harness.add_back_end("s2", "b2", closes_after_reply=True)
        await harness.publish(3, fan_out_route(["s1", "s2"]))
        for length in (17, 60, 99, 115):
            cut.answer = truncated_after(length)
            status, headers, body = await harness.send_request("/stock/7")

            assert status == 200
            assert headers["Radishmount-Part-Stamps"] == "b1.q1"
            assert headers["Radishmount-Missing-Parts"] == "1"
            assert body == RECORD


def response_with_status(status: str) -> Respond:
    """Return a responder that sends a whole response with a status line of its own."""
    return lambda request, name: complete_response(request, name).replace(
        b"200 OK", status.encode()
    )


class TestStatusOutsideTheProtocol:
    """A back end in trouble answered with status 000, and callers got that as an answer."""

    @pytest.mark.parametrize("status", ["000 X", "099 X", "600 X", "999 X"])
    async def test_a_single_request_fails_at_once(
        self, harness: PlatformHarness, status: str
    ) -> None:
        """Taken as an interim response, 000 kept the caller waiting until the deadline (504)."""
        answer = response_with_status(status)
        await harness.add_back_end("orders", "b1", answer=answer)
        await harness.publish(3, single_route(maxAttempts=1))

        answered, headers, body = await harness.send_request("/orders/7")

        assert answered == 502
        assert "Radishmount-Server-Stamp" not in headers
        assert RECORD not in body

    async def test_the_part_is_missing_in_a_merged_answer(self, harness: PlatformHarness) -> None:
        await harness.add_back_end("s1", "b1", answer=complete_response)
        await harness.add_back_end("s2", "b2", answer=response_with_status("000 X"))
        await harness.publish(3, fan_out_route(["s1", "s2"]))

        status, headers, body = await harness.send_request("/stock/7")

        assert status == 200
        assert headers["Radishmount-Part-Stamps"] == "b1.q1"
        assert headers["Radishmount-Missing-Parts"] == "1"
        assert body == RECORD


class TestEndlessAnswer:
    """Bytes that are no answer come without end, until the caller closes."""

    async def test_other_requests_are_served_meanwhile(self, harness: PlatformHarness) -> None:
        endless = await harness.add_back_end(
            "s1",
            "b1",
            answer=lambda request, name: b"HTTP/1.1 200 OK\r\nX-Fill: ",
            endless_part=b"a" * 65_536,
        )
        await harness.add_back_end("orders", "b2")
        await harness.publish(3, single_route(), fan_out_route(["s1"]))
        gathered, single = await asyncio.gather(
            harness.send_request("/stock/7"), harness.send_request("/orders/7")
        )

        assert single[0] == 200
        assert gathered[0] in (502, 504)
        assert endless.sent_bytes < 64 * 1024 * 1024
        assert len(endless.received) <= 2

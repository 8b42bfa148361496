"""Tests of the servers for clients of the platform, with a whole instance over loopback."""

import asyncio
import re
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
import orjson
import pytest

from platform_harness import (
    HOST,
    PlatformHarness,
    backend_entry,
    fan_out_route,
    make_configuration,
    single_route,
    start_platform_harness,
)
from radishmount.admission import RoomRequest
from radishmount.codes import Code, Refusal
from radishmount.fleet import InstanceList
from radishmount.forwarding import ForwardRecord
from radishmount.standins import ReceivedRequest


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield an instance that has no configuration yet."""
    started = await start_platform_harness()
    yield started
    await started.stop()


def one_record(text: str) -> object:
    """Return a responder that sends one record of 16 bytes that starts with `text`."""

    def answer(request: ReceivedRequest, name: str) -> bytes:
        body = text.ljust(16, ".").encode()
        return (
            f"HTTP/1.1 200 OK\r\nRadishmount-Request-Id: {request.request_id}\r\n"
            f"Radishmount-Server-Stamp: {name}.{request.request_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    return answer


@dataclass(frozen=True)
class FullRoom:
    """An admission that refuses every request."""

    refusal: Refusal

    def admit(self, request: RoomRequest) -> Refusal:
        """Refuse."""
        return self.refusal

    def update(self) -> None:
        """Do nothing."""


def never_respond(request: ReceivedRequest, name: str) -> None:
    """Send no response."""


class TestRequests:
    """Requests that are forwarded to one back end."""

    async def test_the_response_of_the_back_end_is_passed_on(
        self, harness: PlatformHarness
    ) -> None:
        await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())

        status, headers, body = await harness.send_request("/orders/7?x=1")

        assert status == 200
        assert headers["Radishmount-Server-Stamp"] == "b1.q1"
        assert headers["Radishmount-Request-Id"] == "q1"
        assert body == b"b1 ran GET /orders/7?x=1 HTTP/1.1"

    async def test_an_instance_without_configuration_answers_503(
        self, harness: PlatformHarness
    ) -> None:
        status, headers, _ = await harness.send_request("/orders/7")

        assert status == 503
        assert float(headers["Retry-After"]) > 0

    async def test_a_request_without_a_route_is_404(self, harness: PlatformHarness) -> None:
        await harness.publish(3, single_route())

        assert (await harness.send_request("/elsewhere/7"))[0] == 404

    async def test_a_request_for_a_service_without_back_ends_may_be_retried(
        self, harness: PlatformHarness
    ) -> None:
        await harness.publish(3, single_route())

        status, headers, _ = await harness.send_request("/orders/7")

        assert status == 503
        assert "Retry-After" in headers

    async def test_a_request_without_room_is_503_and_is_not_sent(
        self, harness: PlatformHarness
    ) -> None:
        back_end = await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())
        gateway = harness.instance.gateway
        refusal = Refusal(Code.NO_ROOM, detail="reserved", retry_after_ms=62.0)
        gateway.room = FullRoom(refusal)  # type: ignore[assignment]

        status, headers, _ = await harness.send_request("/orders/7")

        assert (status, headers["Retry-After"]) == (503, "0.062")
        assert back_end.received == []
        record = gateway.explain("q1")
        assert isinstance(record, ForwardRecord)
        assert (record.route, record.refusal) == ("r-single", refusal)

    async def test_an_unsafe_request_with_a_truncated_response_is_502(
        self, harness: PlatformHarness
    ) -> None:
        def cut(request: ReceivedRequest, name: str) -> bytes:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nab"

        back_end = await harness.add_back_end("orders", "b1", answer=cut, closes_after_reply=True)
        await harness.publish(3, single_route(routeType="unsafe"))

        status, _, _ = await harness.send_request("/orders/7", method="POST", data=b"one bale")

        assert status == 502
        assert len(back_end.received) == 1

    async def test_a_body_above_the_limit_is_413(self, harness: PlatformHarness) -> None:
        back_end = await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route(), maxBodyBytes=1_000)

        status, _, _ = await harness.send_request("/orders/7", method="POST", data=b"x" * 2_000)

        assert status == 413
        assert back_end.received == []

    async def test_a_client_that_disconnects_cancels_the_request(
        self, harness: PlatformHarness
    ) -> None:
        back_end = await harness.add_back_end("orders", "b1", answer=never_respond)
        await harness.publish(3, single_route())
        request_task = asyncio.create_task(harness.send_request("/orders/7"))
        await harness.wait_until(lambda: back_end.received)

        request_task.cancel()

        await harness.wait_until(lambda: back_end.ended_connections == 1)

    async def test_hop_by_hop_headers_are_not_forwarded(self, harness: PlatformHarness) -> None:
        back_end = await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())

        await harness.send_request(
            "/orders/7", headers={"Connection": "X-Hop", "X-Hop": "1", "X-End": "2"}
        )

        assert "x-hop" not in back_end.received[0].headers
        assert back_end.received[0].headers["x-end"] == "2"


class TestFanOut:
    """Requests that are sent to all shards."""

    async def test_the_greatest_records_of_all_shards_are_returned(
        self, harness: PlatformHarness
    ) -> None:
        for shard, text in {"s1": "c", "s2": "a", "s3": "b"}.items():
            await harness.add_back_end(shard, f"{shard}-b", answer=one_record(text))
        await harness.publish(3, fan_out_route(["s1", "s2", "s3"]))

        status, headers, body = await harness.send_request("/stock/x")

        signatures = headers["Radishmount-Part-Stamps"].split(", ")
        assert status == 200
        assert set(signatures) == {"s1-b.q1", "s2-b.q1", "s3-b.q1"}
        assert "Radishmount-Missing-Parts" not in headers
        assert body == b"".join(letter.ljust(16, b".") for letter in (b"c", b"b", b"a"))

    async def test_the_number_of_missing_shards_is_in_a_header(
        self, harness: PlatformHarness
    ) -> None:
        await harness.add_back_end("s1", "s1-b", answer=one_record("a"))
        await harness.add_back_end("s2", "s2-b", answer=never_respond)
        await harness.publish(3, fan_out_route(["s1", "s2"], timeoutMs=300, targetLatencyMs=100))

        status, headers, _ = await harness.send_request("/stock/x")

        assert status == 200
        assert headers["Radishmount-Missing-Parts"] == "1"


class TestDirectory:
    """Readiness, the addresses for clients, and a graceful stop."""

    async def test_ready_with_configuration_and_endpoints(self, harness: PlatformHarness) -> None:
        before = (await harness.get(1, "/-/readiness"))[0]
        await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())

        assert before == 503
        assert (await harness.get(1, "/-/readiness"))[0] == 200

    async def test_a_single_instance_resolves_to_itself(self, harness: PlatformHarness) -> None:
        status, body = await harness.get(2, "/-/resolve?name=shop.example&region=r1&zone=z1")

        answer = orjson.loads(body)
        assert status == 200
        assert len(answer["addrs"]) == 1
        assert 0 < answer["ttl_s"] <= 5

    async def test_callers_without_replicas_are_sent_beside_them(
        self, harness: PlatformHarness
    ) -> None:
        """Pattern: a data centre has callers and instances, and no replica of any shard."""
        for shard in ("s1", "s2"):
            await harness.add_back_end(shard, f"{shard}-b")
        await harness.publish(3, fan_out_route(["s1", "s2"]))
        fleet = harness.instance.gateway.control.fleet
        own = fleet.by_name["front-1"]
        others = [replace(own, name="front-2"), replace(own, name="front-3", data_centre="z2")]
        addressed = [replace(i, caller_address=f"{i.name}:80") for i in (own, *others)]
        fleet.apply_list(InstanceList(fleet.list_version + 1, tuple(addressed)))

        addresses_by_zone = {}
        for zone in ("z1", "z2"):
            _, body = await harness.get(2, f"/-/resolve?name={HOST}&region=r1&zone={zone}")
            addresses_by_zone[zone] = set(orjson.loads(body)["addrs"])
        _, body = await harness.get(2, "/-/resolve?name=other.example&region=r1&zone=z2")

        assert addresses_by_zone == dict.fromkeys(("z1", "z2"), {"front-1:80", "front-2:80"})
        assert "front-3:80" in orjson.loads(body)["addrs"]

    async def test_bytes_to_and_from_other_data_centres_are_counted(
        self, harness: PlatformHarness
    ) -> None:
        answer: Any = one_record("a")
        for shard, zone in (("s1", "z1"), ("s2", "z2")):
            back_end = await harness.add_back_end(shard, f"{shard}-b", answer=answer)
            entry = backend_entry(back_end, shard, zone=zone, seq=2)
            await harness.store.put(f"servers/{shard}-b", entry)
        await harness.publish(3, fan_out_route(["s1", "s2"]))

        status, _, _ = await harness.send_request("/stock/x")

        counters = harness.instance.gateway.counters
        assert status == 200
        assert counters.value("crossing_sub_requests", "first") == 1
        assert counters.value("crossing_bytes_sent", "first") > 60
        sent = answer(back_end.received[0], "s2-b")
        assert counters.value("crossing_bytes_received", "first") == len(sent)

    async def test_a_leaving_instance_is_not_ready_but_still_serves_requests(
        self, harness: PlatformHarness
    ) -> None:
        back_end = await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())
        harness.instance.gateway.leave()

        status, headers, _ = await harness.send_request("/orders/7")
        ready, _ = await harness.get(1, "/-/readiness")

        assert (status, ready) == (200, 503)
        assert headers["Connection"] == "close"
        assert len(back_end.received) == 1

    async def test_a_request_in_flight_is_answered_when_the_instance_stops(
        self, harness: PlatformHarness
    ) -> None:
        back_end = await harness.add_back_end("orders", "b1", answer=never_respond)
        await harness.publish(3, single_route(timeoutMs=300))
        request_task = asyncio.create_task(harness.send_request("/orders/7"))
        await harness.wait_until(lambda: back_end.received)

        await harness.leave(2_000.0)

        assert (await request_task)[0] == 504
        with pytest.raises(aiohttp.ClientConnectionError):
            await harness.send_request("/orders/8")


class TestLimits:
    """The published limits for callers are enforced."""

    async def test_a_header_within_the_limit_is_passed_on(self, harness: PlatformHarness) -> None:
        back_end = await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route(), maxHeaderBytes=16_384)

        status, _, _ = await harness.send_request("/orders/7", headers={"X-Long": "x" * 12_000})

        assert status == 200
        assert back_end.received[0].headers["x-long"] == "x" * 12_000

    async def test_a_header_above_the_limit_is_431(self, harness: PlatformHarness) -> None:
        await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route(), maxHeaderBytes=4_000)

        status, _, _ = await harness.send_request("/orders/7", headers={"X-Long": "x" * 5_000})

        assert status == 431

    async def test_a_request_head_that_is_never_completed_is_408(
        self, harness: PlatformHarness
    ) -> None:
        await harness.publish(3, single_route(), headerTimeoutMs=50)
        address = harness.instance.servers[0].address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"GET /orders/7 HTTP/1.1\r\nHost: ")

        answer = await reader.read()

        assert answer.startswith(b"HTTP/1.1 408 ")
        writer.close()

    async def test_an_idle_connection_does_not_run_into_the_head_timeout(
        self, harness: PlatformHarness
    ) -> None:
        await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route(), headerTimeoutMs=50)
        address = harness.instance.servers[0].address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        request = f"GET /orders/7 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        statuses = []
        for _ in range(2):
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(re.search(rb"Content-Length: (\d+)", head)[1]))  # type: ignore[index]
            statuses.append(head.split()[1])
            await asyncio.sleep(0.2)
        writer.close()

        assert statuses == [b"200", b"200"]


class TestPublished:
    """Changes by the operator and the endpoints apply to the next request."""

    async def test_a_draining_endpoint_gets_no_new_requests(self, harness: PlatformHarness) -> None:
        leaving = await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())
        await harness.send_request("/orders/1")
        await harness.add_back_end("orders", "b2")
        await harness.store.put(
            "servers/b1", backend_entry(leaving, "orders", state="draining", seq=2)
        )
        follower = harness.instance.gateway.follower
        await harness.wait_until(
            lambda: follower.last_change_position.revision == harness.store.revision
        )
        before = len(leaving.received)

        answers = [await harness.send_request("/orders/2", request_id=f"d{n}") for n in range(20)]

        assert {status for status, _, _ in answers} == {200}
        assert len(leaving.received) == before == 1

    async def test_an_older_configuration_is_not_applied(self, harness: PlatformHarness) -> None:
        await harness.add_back_end("orders", "b1")
        await harness.publish(5, single_route())
        await harness.store.put("op/config", make_configuration(4, []))
        follower = harness.instance.gateway.follower
        await harness.wait_until(
            lambda: follower.last_change_position.revision == harness.store.revision
        )

        status, _, _ = await harness.send_request("/orders/1")

        assert status == 200

    async def test_a_response_never_mixes_shards_of_two_configurations(
        self, harness: PlatformHarness
    ) -> None:
        for service in ("old-1", "old-2", "new-1", "new-2", "new-3"):
            await harness.add_back_end(service, f"i-{service}", answer=one_record(service))
        await harness.publish(5, fan_out_route(["old-1", "old-2"]))
        before = await harness.send_request("/stock/1")
        await harness.publish(6, fan_out_route(["new-1", "new-2", "new-3"]))
        after = await harness.send_request("/stock/1", request_id="q2")

        assert before[1]["Radishmount-Part-Stamps"].count("i-old") == 2
        assert after[1]["Radishmount-Part-Stamps"].count("i-new") == 3
        assert "i-old" not in after[1]["Radishmount-Part-Stamps"]

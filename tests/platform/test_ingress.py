"""Tests of what clients of the platform speak, through the whole path over loopback."""

import asyncio
import re
from collections.abc import AsyncIterator

import aiohttp
import orjson
import pytest

from platform_harness import (
    HOST,
    PlatformHarness,
    configuration,
    entry_of,
    gather_route,
    single_route,
    start_platform_harness,
)
from radishmount.standins import SeenRequest


@pytest.fixture
async def world() -> AsyncIterator[PlatformHarness]:
    """An instance that knows no configuration yet."""
    started = await start_platform_harness()
    yield started
    await started.stop()


def records_of(text: str) -> object:
    """Return an answer function with one 16-byte record."""

    def answer(request: SeenRequest, name: str) -> bytes:
        body = text.ljust(16, ".").encode()
        return (
            f"HTTP/1.1 200 OK\r\nRadishmount-Request-Id: {request.request_id}\r\n"
            f"Radishmount-Server-Stamp: {name}.{request.request_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    return answer


def silent(request: SeenRequest, name: str) -> None:
    """Answer nothing."""


class TestRequests:
    """Requests to one back end."""

    async def test_the_back_ends_own_answer_is_passed_on(self, world: PlatformHarness) -> None:
        await world.add("orders", "b1")
        await world.publish(3, single_route())

        status, headers, body = await world.ask("/orders/7?x=1")

        assert status == 200
        assert headers["Radishmount-Server-Stamp"] == "b1.q1"
        assert headers["Radishmount-Request-Id"] == "q1"
        assert body == b"b1 ran GET /orders/7?x=1 HTTP/1.1"

    async def test_an_instance_without_configuration_answers_503(
        self, world: PlatformHarness
    ) -> None:
        status, headers, _ = await world.ask("/orders/7")

        assert status == 503
        assert float(headers["Retry-After"]) > 0

    async def test_no_route_is_404(self, world: PlatformHarness) -> None:
        await world.publish(3, single_route())

        assert (await world.ask("/elsewhere/7"))[0] == 404

    async def test_a_service_without_back_ends_is_refused_as_not_run(
        self, world: PlatformHarness
    ) -> None:
        await world.publish(3, single_route())

        status, headers, _ = await world.ask("/orders/7")

        assert status == 503
        assert "Retry-After" in headers

    async def test_a_lost_answer_of_an_unsafe_request_is_502(self, world: PlatformHarness) -> None:
        def cut(request: SeenRequest, name: str) -> bytes:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nab"

        back_end = await world.add("orders", "b1", answer=cut, closes=True)
        await world.publish(3, single_route(routeType="unsafe"))

        status, _, _ = await world.ask("/orders/7", method="POST", data=b"one bale")

        assert status == 502
        assert len(back_end.seen) == 1

    async def test_a_body_above_the_limit_is_413(self, world: PlatformHarness) -> None:
        back_end = await world.add("orders", "b1")
        await world.publish(3, single_route(), maxBodyBytes=1_000)

        status, _, _ = await world.ask("/orders/7", method="POST", data=b"x" * 2_000)

        assert status == 413
        assert back_end.seen == []

    async def test_a_client_that_leaves_ends_the_work(self, world: PlatformHarness) -> None:
        back_end = await world.add("orders", "b1", answer=silent)
        await world.publish(3, single_route())
        asking = asyncio.create_task(world.ask("/orders/7"))
        await world.until(lambda: back_end.seen)

        asking.cancel()

        await world.until(lambda: back_end.ended == 1)

    async def test_hop_by_hop_headers_stay_here(self, world: PlatformHarness) -> None:
        back_end = await world.add("orders", "b1")
        await world.publish(3, single_route())

        await world.ask("/orders/7", headers={"Connection": "X-Hop", "X-Hop": "1", "X-End": "2"})

        assert "x-hop" not in back_end.seen[0].headers
        assert back_end.seen[0].headers["x-end"] == "2"


class TestGather:
    """Requests to all shards."""

    async def test_the_greatest_records_of_all_parts(self, world: PlatformHarness) -> None:
        for shard, text in {"s1": "c", "s2": "a", "s3": "b"}.items():
            await world.add(shard, f"{shard}-b", answer=records_of(text))
        await world.publish(3, gather_route(["s1", "s2", "s3"]))

        status, headers, body = await world.ask("/stock/x")

        signatures = headers["Radishmount-Part-Stamps"].split(", ")
        assert status == 200
        assert set(signatures) == {"s1-b.q1", "s2-b.q1", "s3-b.q1"}
        assert "Radishmount-Missing-Parts" not in headers
        assert body == b"".join(letter.ljust(16, b".") for letter in (b"c", b"b", b"a"))

    async def test_missing_parts_are_told(self, world: PlatformHarness) -> None:
        await world.add("s1", "s1-b", answer=records_of("a"))
        await world.add("s2", "s2-b", answer=silent)
        await world.publish(3, gather_route(["s1", "s2"], timeoutMs=300, targetLatencyMs=100))

        status, headers, _ = await world.ask("/stock/x")

        assert status == 200
        assert headers["Radishmount-Missing-Parts"] == "1"


class TestDirectory:
    """Readiness, addresses and leaving."""

    async def test_ready_with_configuration_and_endpoints(self, world: PlatformHarness) -> None:
        before = (await world.get(1, "/-/readiness"))[0]
        await world.add("orders", "b1")
        await world.publish(3, single_route())

        assert before == 503
        assert (await world.get(1, "/-/readiness"))[0] == 200

    async def test_a_lone_instance_names_itself(self, world: PlatformHarness) -> None:
        status, body = await world.get(2, "/-/resolve?name=shop.example&region=r1&zone=z1")

        answer = orjson.loads(body)
        assert status == 200
        assert len(answer["addrs"]) == 1
        assert 0 < answer["ttl_s"] <= 5

    async def test_one_that_leaves_is_not_ready_and_finishes_its_requests(
        self, world: PlatformHarness
    ) -> None:
        back_end = await world.add("orders", "b1")
        await world.publish(3, single_route())
        world.instance.gateway.leave()

        status, headers, _ = await world.ask("/orders/7")
        ready, _ = await world.get(1, "/-/readiness")

        assert (status, ready) == (200, 503)
        assert headers["Connection"] == "close"
        assert len(back_end.seen) == 1

    async def test_a_request_in_flight_is_answered_when_the_instance_stops(
        self, world: PlatformHarness
    ) -> None:
        back_end = await world.add("orders", "b1", answer=silent)
        await world.publish(3, single_route(timeoutMs=300))
        asking = asyncio.create_task(world.ask("/orders/7"))
        await world.until(lambda: back_end.seen)

        await world.instance.leave(2_000.0)

        assert (await asking)[0] == 504
        with pytest.raises(aiohttp.ClientConnectionError):
            await world.ask("/orders/8")


class TestLimits:
    """What the published limits allow and refuse."""

    async def test_a_header_within_the_limit_is_passed_on(self, world: PlatformHarness) -> None:
        back_end = await world.add("orders", "b1")
        await world.publish(3, single_route(), maxHeaderBytes=16_384)

        status, _, _ = await world.ask("/orders/7", headers={"X-Long": "x" * 12_000})

        assert status == 200
        assert back_end.seen[0].headers["x-long"] == "x" * 12_000

    async def test_a_header_above_the_limit_is_431(self, world: PlatformHarness) -> None:
        await world.add("orders", "b1")
        await world.publish(3, single_route(), maxHeaderBytes=4_000)

        status, _, _ = await world.ask("/orders/7", headers={"X-Long": "x" * 5_000})

        assert status == 431

    async def test_a_head_that_is_begun_and_not_ended_is_408(self, world: PlatformHarness) -> None:
        await world.publish(3, single_route(), headerTimeoutMs=50)
        address = world.instance.servers[0].address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"GET /orders/7 HTTP/1.1\r\nHost: ")

        answer = await reader.read()

        assert answer.startswith(b"HTTP/1.1 408 ")
        writer.close()

    async def test_an_idle_connection_is_not_a_slow_head(self, world: PlatformHarness) -> None:
        await world.add("orders", "b1")
        await world.publish(3, single_route(), headerTimeoutMs=50)
        address = world.instance.servers[0].address
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
    """What the operator and the endpoints publish holds for the next request."""

    async def test_nothing_new_goes_to_an_endpoint_that_drains(
        self, world: PlatformHarness
    ) -> None:
        leaving = await world.add("orders", "b1")
        await world.publish(3, single_route())
        await world.ask("/orders/1")
        await world.add("orders", "b2")
        await world.store.put("servers/b1", entry_of(leaving, "orders", state="draining", seq=2))
        held = world.instance.gateway.follower
        await world.until(lambda: held.last_change_revision == world.store.revision)
        before = len(leaving.seen)

        answers = [await world.ask("/orders/2", request_id=f"d{n}") for n in range(20)]

        assert {status for status, _, _ in answers} == {200}
        assert len(leaving.seen) == before == 1

    async def test_an_older_version_does_not_come_back(self, world: PlatformHarness) -> None:
        await world.add("orders", "b1")
        await world.publish(5, single_route())
        await world.store.put("op/config", configuration(4, []))
        held = world.instance.gateway.follower
        await world.until(lambda: held.last_change_revision == world.store.revision)

        status, _, _ = await world.ask("/orders/1")

        assert status == 200

    async def test_a_reshard_never_mixes_two_versions(self, world: PlatformHarness) -> None:
        for service in ("old-1", "old-2", "new-1", "new-2", "new-3"):
            await world.add(service, f"i-{service}", answer=records_of(service))
        await world.publish(5, gather_route(["old-1", "old-2"]))
        before = await world.ask("/stock/1")
        await world.publish(6, gather_route(["new-1", "new-2", "new-3"]))
        after = await world.ask("/stock/1", request_id="q2")

        assert before[1]["Radishmount-Part-Stamps"].count("i-old") == 2
        assert after[1]["Radishmount-Part-Stamps"].count("i-new") == 3
        assert "i-old" not in after[1]["Radishmount-Part-Stamps"]

"""Snapshot tests of whole search sessions under one fault and under pairs of faults."""

import asyncio
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from fakes import QueryHarness, start_query_harness
from support import objects_for


pytestmark = pytest.mark.looptime

FAULTY_ENDPOINT = "catalogue-0-0"


async def warm_up(harness: QueryHarness, count: int = 30) -> str:
    """Send searches until latencies are known, and clear the log.

    Return the endpoint of the last sub-request to the first shard, as it will be chosen again.

    The warm-up ends shortly after 1 s, so that searches do not coincide with probes and heartbeats.
    """
    for number in range(count):
        await harness.search(request_id=f"warm-{number}")
    await asyncio.sleep(1.0003 - asyncio.get_running_loop().time())
    endpoints = [line.split()[1] for line in harness.log.lines if " <- " in line]
    harness.log.lines.clear()
    return [name for name in endpoints if name.startswith("catalogue-0-")][-1]


async def send_searches(harness: QueryHarness, count: int, pause_s: float = 0.05) -> None:
    """Send searches at a fixed interval, each in its own task."""
    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(harness.search(request_id=f"r{number}")))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*tasks)


def got_sub_request(harness: QueryHarness, endpoint: str) -> bool:
    """Return whether `endpoint` got a sub-request, without which its fault has no effect."""
    return any(f"{endpoint} <- " in line for line in harness.log.lines)


def split_objects(addresses: dict[str, list[str]]) -> list[dict[str, Any]]:
    """Return the test objects, with the first shard split between two services.

    The split takes effect at index version 2.
    """
    objects = objects_for(addresses)
    for item in objects:
        if item["kind"] == "shard" and item["name"] == "shard-0":
            item["until"] = 2
    for name, service, keys in (
        ("shard-0a", "catalogue-0", {"from": "", "to": "d"}),
        ("shard-0b", "catalogue-1", {"from": "d", "to": "h"}),
    ):
        objects.append(
            {
                "kind": "shard",
                "name": name,
                "collection": "catalogue",
                "service": service,
                "keys": keys,
                "since": 2,
            }
        )
    return objects


class TestOneFault:
    """One endpoint fails in one way, among three replicas of each shard."""

    async def test_unreachable(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        faulty = await warm_up(harness)
        harness.endpoints_by_name[faulty].unreachable = True
        await send_searches(harness, 12)
        await asyncio.sleep(4.0)
        harness.endpoints_by_name[faulty].unreachable = False
        await asyncio.sleep(8.0)
        await harness.search(request_id="after")
        await harness.stop()

        assert got_sub_request(harness, faulty)
        assert harness.log.text() == snapshot

    async def test_silent(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        await warm_up(harness)
        harness.endpoints_by_name[FAULTY_ENDPOINT].silent = True
        await send_searches(harness, 12)
        await asyncio.sleep(3.0)
        await harness.stop()

        assert got_sub_request(harness, FAULTY_ENDPOINT)
        assert harness.log.text() == snapshot

    async def test_silent_open_connections(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        await warm_up(harness)
        for endpoint in harness.endpoints_by_name.values():
            endpoint.silence_open_connections()
        await send_searches(harness, 3)
        await asyncio.sleep(0.5)
        await harness.search(request_id="after")
        await harness.stop()

        assert harness.log.text() == snapshot

    async def test_shedding(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        await warm_up(harness)
        harness.endpoints_by_name[FAULTY_ENDPOINT].shedding = True
        await send_searches(harness, 12)
        await harness.stop()

        assert got_sub_request(harness, FAULTY_ENDPOINT)
        assert harness.log.text() == snapshot

    async def test_draining_by_its_own_report(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        await warm_up(harness)
        harness.endpoints_by_name[FAULTY_ENDPOINT].draining = True
        await send_searches(harness, 8, pause_s=0.5)
        await harness.stop()

        assert harness.log.text() == snapshot

    async def test_reporting_a_false_load(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        await warm_up(harness)
        endpoint = harness.endpoints_by_name[FAULTY_ENDPOINT]
        endpoint.reported_in_flight = 0
        endpoint.service_ms = 60.0
        await send_searches(harness, 12)
        await harness.stop()

        assert got_sub_request(harness, FAULTY_ENDPOINT)
        assert harness.log.text() == snapshot

    async def test_reporting_false_versions(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        await warm_up(harness)
        endpoint = harness.endpoints_by_name[FAULTY_ENDPOINT]
        endpoint.versions = {7}
        endpoint.reported_versions = {1, 2}
        await send_searches(harness, 12)
        await harness.stop()

        assert got_sub_request(harness, FAULTY_ENDPOINT)
        assert harness.log.text() == snapshot

    async def test_answering_from_another_version(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        await warm_up(harness)
        harness.endpoints_by_name[FAULTY_ENDPOINT].reply_overrides = {"index_version": 2}
        await send_searches(harness, 12)
        await harness.stop()

        assert got_sub_request(harness, FAULTY_ENDPOINT)
        assert harness.log.text() == snapshot

    async def test_slow(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        await warm_up(harness)
        harness.endpoints_by_name[FAULTY_ENDPOINT].service_ms = 100.0
        await send_searches(harness, 12)
        await harness.stop()

        assert got_sub_request(harness, FAULTY_ENDPOINT)
        assert harness.log.text() == snapshot


class TestIndexChange:
    """Index versions are added and removed while searches run."""

    async def test_endpoints_add_a_version_one_after_the_other(
        self, snapshot: SnapshotAssertion
    ) -> None:
        harness = await start_query_harness(replicas=2)
        await warm_up(harness)
        running = asyncio.create_task(send_searches(harness, 12, pause_s=0.3))
        for endpoint in harness.endpoints_by_name.values():
            await asyncio.sleep(0.6)
            endpoint.versions = {1, 2}
        await running
        await harness.stop()

        assert harness.log.text() == snapshot

    async def test_a_version_removed_during_searches(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=2)
        await warm_up(harness)
        for endpoint in harness.endpoints_by_name.values():
            endpoint.versions = {2}
        await send_searches(harness, 3, pause_s=0.5)
        await harness.stop()

        assert harness.log.text() == snapshot

    async def test_a_repartition_during_searches(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=2)
        await warm_up(harness)
        harness.objects_by_version[2] = split_objects(harness.addresses)
        running = asyncio.create_task(send_searches(harness, 12, pause_s=0.3))
        await asyncio.sleep(0.605)
        harness.platform.publish(2)
        await asyncio.sleep(0.6)
        for endpoint in harness.endpoints_by_name.values():
            endpoint.versions = {1, 2}
        await asyncio.sleep(1.5)
        for endpoint in harness.endpoints_by_name.values():
            endpoint.versions = {2}
        await running
        await harness.stop()

        assert harness.log.text() == snapshot


class TestPairsOfFaults:
    """Two faults at once, or one during the other."""

    async def test_unreachable_during_an_index_change(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=2)
        await warm_up(harness)
        harness.endpoints_by_name["catalogue-0-1"].versions = {1, 2}
        for name in ("catalogue-1-0", "catalogue-1-1"):
            harness.endpoints_by_name[name].versions = {1, 2}
        await asyncio.sleep(1.1)
        harness.endpoints_by_name["catalogue-0-1"].unreachable = True
        await send_searches(harness, 4, pause_s=0.8)
        await harness.stop()

        assert harness.log.text() == snapshot

    async def test_one_silent_and_one_shedding(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        await warm_up(harness)
        harness.endpoints_by_name["catalogue-0-0"].silent = True
        harness.endpoints_by_name["catalogue-0-1"].shedding = True
        await send_searches(harness, 4, pause_s=0.2)
        await harness.stop()

        assert harness.log.text() == snapshot

    async def test_one_draining_and_one_slow(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=3)
        await warm_up(harness)
        harness.endpoints_by_name["catalogue-0-0"].draining = True
        harness.endpoints_by_name["catalogue-0-1"].service_ms = 100.0
        await send_searches(harness, 5, pause_s=0.2)
        await harness.stop()

        assert harness.log.text() == snapshot

    async def test_one_draining_during_a_pause_of_the_instance(
        self, snapshot: SnapshotAssertion
    ) -> None:
        harness = await start_query_harness(replicas=2)
        await warm_up(harness)
        harness.endpoints_by_name[FAULTY_ENDPOINT].draining = True
        for endpoint in harness.endpoints_by_name.values():
            endpoint.probe_ms = 4.0
        harness.nodes_by_name["entry-a"].pool.expire_health()
        await send_searches(harness, 2)
        await harness.stop()

        assert harness.log.text() == snapshot

    async def test_unreachable_during_a_repartition(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=2)
        await warm_up(harness)
        harness.objects_by_version[2] = split_objects(harness.addresses)
        harness.platform.publish(2)
        for endpoint in harness.endpoints_by_name.values():
            endpoint.versions = {1, 2}
        harness.endpoints_by_name["catalogue-1-0"].unreachable = True
        await send_searches(harness, 4, pause_s=0.5)
        await harness.stop()

        assert harness.log.text() == snapshot

    async def test_every_replica_of_a_shard_unreachable(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_query_harness(replicas=2)
        await warm_up(harness)
        for name in ("catalogue-0-0", "catalogue-0-1"):
            harness.endpoints_by_name[name].unreachable = True
        await send_searches(harness, 2, pause_s=0.3)
        await asyncio.sleep(3.0)
        await harness.search(request_id="known-lost")
        await harness.stop()

        assert harness.log.text() == snapshot

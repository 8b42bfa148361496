"""Golden files of whole search sessions under one fault and under pairs of faults."""

import asyncio
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from fakes import QueryHarness, start_query_harness
from support import objects_for


pytestmark = pytest.mark.looptime

ONE = "catalogue-0-0"


async def warm(world: QueryHarness, count: int = 30) -> str:
    """Send searches until latencies are known, and forget the log of them.

    Returns the endpoint that was asked last for the first shard, as it will be asked again.

    It ends shortly after 1 s, so that searches do not coincide with probes and heartbeats.
    """
    for number in range(count):
        await world.search(request_id=f"warm-{number}")
    await asyncio.sleep(1.0003 - asyncio.get_running_loop().time())
    asked = [line.split()[1] for line in world.log.lines if " <- " in line]
    world.log.lines.clear()
    return [name for name in asked if name.startswith("catalogue-0-")][-1]


async def searches(world: QueryHarness, count: int, pause_s: float = 0.05) -> None:
    """Send searches at a steady pace, each in a task of its own."""
    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(world.search(request_id=f"r{number}")))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*tasks)


def was_asked(world: QueryHarness, endpoint: str) -> bool:
    """Tell whether `endpoint` got a sub-request: a fault that nothing met shows nothing."""
    return any(f"{endpoint} <- " in line for line in world.log.lines)


def split_objects(addresses: dict[str, list[str]]) -> list[dict[str, Any]]:
    """Return the small set with its first shard split over both services from version 2 on."""
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

    async def test_lost(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        one = await warm(world)
        world.endpoints_by_name[one].unreachable = True
        await searches(world, 12)
        await asyncio.sleep(4.0)
        world.endpoints_by_name[one].unreachable = False
        await asyncio.sleep(8.0)
        await world.search(request_id="after")
        await world.stop()

        assert was_asked(world, one)
        assert world.log.text() == snapshot

    async def test_silent(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        await warm(world)
        world.endpoints_by_name[ONE].silent = True
        await searches(world, 12)
        await asyncio.sleep(3.0)
        await world.stop()

        assert was_asked(world, ONE)
        assert world.log.text() == snapshot

    async def test_silent_connections(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        await warm(world)
        for endpoint in world.endpoints_by_name.values():
            endpoint.silence_open_connections()
        await searches(world, 3)
        await asyncio.sleep(0.5)
        await world.search(request_id="after")
        await world.stop()

        assert world.log.text() == snapshot

    async def test_shedding(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        await warm(world)
        world.endpoints_by_name[ONE].shedding = True
        await searches(world, 12)
        await world.stop()

        assert was_asked(world, ONE)
        assert world.log.text() == snapshot

    async def test_leaving_by_its_own_word(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        await warm(world)
        world.endpoints_by_name[ONE].draining = True
        await searches(world, 8, pause_s=0.5)
        await world.stop()

        assert world.log.text() == snapshot

    async def test_lying_about_its_load(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        await warm(world)
        liar = world.endpoints_by_name[ONE]
        liar.reported_in_flight = 0
        liar.service_ms = 60.0
        await searches(world, 12)
        await world.stop()

        assert was_asked(world, ONE)
        assert world.log.text() == snapshot

    async def test_lying_about_its_version(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        await warm(world)
        liar = world.endpoints_by_name[ONE]
        liar.versions = {7}
        liar.reported_versions = {1, 2}
        await searches(world, 12)
        await world.stop()

        assert was_asked(world, ONE)
        assert world.log.text() == snapshot

    async def test_answering_from_another_version(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        await warm(world)
        world.endpoints_by_name[ONE].reply_overrides = {"index_version": 2}
        await searches(world, 12)
        await world.stop()

        assert was_asked(world, ONE)
        assert world.log.text() == snapshot

    async def test_slow(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        await warm(world)
        world.endpoints_by_name[ONE].service_ms = 100.0
        await searches(world, 12)
        await world.stop()

        assert was_asked(world, ONE)
        assert world.log.text() == snapshot


class TestIndexChange:
    """Index versions come and go while searches run."""

    async def test_one_endpoint_after_the_other(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=2)
        await warm(world)
        running = asyncio.create_task(searches(world, 12, pause_s=0.3))
        for endpoint in world.endpoints_by_name.values():
            await asyncio.sleep(0.6)
            endpoint.versions = {1, 2}
        await running
        await world.stop()

        assert world.log.text() == snapshot

    async def test_version_dropped_under_a_search(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=2)
        await warm(world)
        for endpoint in world.endpoints_by_name.values():
            endpoint.versions = {2}
        await searches(world, 3, pause_s=0.5)
        await world.stop()

        assert world.log.text() == snapshot

    async def test_repartition_in_flight(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=2)
        await warm(world)
        world.objects_by_version[2] = split_objects(world.addresses)
        running = asyncio.create_task(searches(world, 12, pause_s=0.3))
        await asyncio.sleep(0.605)
        world.platform.publish(2)
        await asyncio.sleep(0.6)
        for endpoint in world.endpoints_by_name.values():
            endpoint.versions = {1, 2}
        await asyncio.sleep(1.5)
        for endpoint in world.endpoints_by_name.values():
            endpoint.versions = {2}
        await running
        await world.stop()

        assert world.log.text() == snapshot


class TestPairsOfFaults:
    """Two faults at once, or one within the other."""

    async def test_lost_during_an_index_change(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=2)
        await warm(world)
        world.endpoints_by_name["catalogue-0-1"].versions = {1, 2}
        for name in ("catalogue-1-0", "catalogue-1-1"):
            world.endpoints_by_name[name].versions = {1, 2}
        await asyncio.sleep(1.1)
        world.endpoints_by_name["catalogue-0-1"].unreachable = True
        await searches(world, 4, pause_s=0.8)
        await world.stop()

        assert world.log.text() == snapshot

    async def test_one_silent_and_one_shedding(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        await warm(world)
        world.endpoints_by_name["catalogue-0-0"].silent = True
        world.endpoints_by_name["catalogue-0-1"].shedding = True
        await searches(world, 4, pause_s=0.2)
        await world.stop()

        assert world.log.text() == snapshot

    async def test_one_leaving_and_one_slow(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=3)
        await warm(world)
        world.endpoints_by_name["catalogue-0-0"].draining = True
        world.endpoints_by_name["catalogue-0-1"].service_ms = 100.0
        await searches(world, 5, pause_s=0.2)
        await world.stop()

        assert world.log.text() == snapshot

    async def test_a_pause_and_one_leaving_meanwhile(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=2)
        await warm(world)
        world.endpoints_by_name[ONE].draining = True
        for endpoint in world.endpoints_by_name.values():
            endpoint.probe_ms = 4.0
        world.nodes_by_name["entry-a"].pool.expire_health()
        await searches(world, 2)
        await world.stop()

        assert world.log.text() == snapshot

    async def test_lost_during_a_repartition(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=2)
        await warm(world)
        world.objects_by_version[2] = split_objects(world.addresses)
        world.platform.publish(2)
        for endpoint in world.endpoints_by_name.values():
            endpoint.versions = {1, 2}
        world.endpoints_by_name["catalogue-1-0"].unreachable = True
        await searches(world, 4, pause_s=0.5)
        await world.stop()

        assert world.log.text() == snapshot

    async def test_every_replica_of_a_shard_lost(self, snapshot: SnapshotAssertion) -> None:
        world = await start_query_harness(replicas=2)
        await warm(world)
        for name in ("catalogue-0-0", "catalogue-0-1"):
            world.endpoints_by_name[name].unreachable = True
        await searches(world, 2, pause_s=0.3)
        await asyncio.sleep(3.0)
        await world.search(request_id="known-lost")
        await world.stop()

        assert world.log.text() == snapshot

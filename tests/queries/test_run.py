"""Searches from end to end: preferences, records, and what a refusal says."""

import asyncio

import pytest

from fakes import QueryHarness, start_query_harness
from radishmount.codes import Code, RunStatus
from radishmount.endpoints import SearchTerms
from radishmount.queries import SearchCall, SearchVerdict
from support import objects_for


pytestmark = pytest.mark.looptime


async def lose_a_shard(world: QueryHarness) -> None:
    """Lose every replica of a shard, and wait until that is known."""
    for name in ("catalogue-0-0", "catalogue-0-1"):
        world.endpoints_by_name[name].unreachable = True
    await asyncio.sleep(4.0)


async def prefer_tail(world: QueryHarness) -> None:
    objects = objects_for(world.addresses)
    for item in objects:
        if item["kind"] == "rule":
            item["prefer"] = "tail"
    world.objects_by_version[2] = objects
    world.platform.publish(2)
    await asyncio.sleep(0.1)


async def took_ms(world: QueryHarness) -> float:
    began_s = asyncio.get_running_loop().time()
    await world.search(deadline_ms=200.0)
    return (asyncio.get_running_loop().time() - began_s) * 1000.0


class TestPreference:
    """What a rule gives up last."""

    async def test_coverage_waits_for_a_replica_to_come_back(self) -> None:
        world = await start_query_harness()
        await lose_a_shard(world)

        assert 190.0 < await took_ms(world) <= 200.0
        await world.stop()

    async def test_tail_answers_early_when_nothing_can_come(self) -> None:
        world = await start_query_harness()
        await prefer_tail(world)
        await lose_a_shard(world)

        assert 95.0 < await took_ms(world) < 150.0
        assert "missing part-0" in world.log.lines[-1]
        await world.stop()

    async def test_tail_waits_for_a_slow_replica_all_the_same(self) -> None:
        world = await start_query_harness()
        await prefer_tail(world)
        for fake in world.endpoints_by_name.values():
            fake.service_ms = 150.0

        assert 149.0 < await took_ms(world) < 200.0
        assert "missing none" in world.log.lines[-1]
        await world.stop()


class TestRecords:
    """What explain can tell afterwards."""

    async def test_a_partial_search_is_kept_with_its_attempts(self) -> None:
        world = await start_query_harness()
        for name in ("catalogue-0-0", "catalogue-0-1"):
            world.endpoints_by_name[name].shedding = True
        await world.search()
        record = world.nodes_by_name["entry-a"].query_context.explain_log.find("r1")

        assert record is not None
        assert record.verdict is SearchVerdict.PARTIAL
        assert record.missing == ("part-0",)
        assert record.attempts[0].result == "SHED"
        assert {attempt.purpose for attempt in record.attempts} == {"first", "retry"}
        await world.stop()

    async def test_a_quick_whole_search_is_not_kept(self) -> None:
        world = await start_query_harness()
        await world.search()

        assert world.nodes_by_name["entry-a"].query_context.explain_log.find("r1") is None
        await world.stop()

    async def test_a_refusal_before_anything_was_sent_did_not_run(self) -> None:
        world = await start_query_harness()
        for fake in world.endpoints_by_name.values():
            fake.unreachable = True
        await asyncio.sleep(4.0)
        call = SearchCall("workshop", "catalogue", SearchTerms("washi"), 100.0)
        refusal = (await world.nodes_by_name["entry-a"].search("r1", call)).unwrap_err()

        assert (refusal.code, refusal.ran) == (Code.NO_SNAPSHOT, RunStatus.NOT_RUN)
        await world.stop()


class TestRetries:
    """A shard whose replicas all fail neither spins nor starves the others."""

    async def test_attempts_are_bounded(self) -> None:
        world = await start_query_harness()
        for name in ("catalogue-0-0", "catalogue-0-1"):
            world.endpoints_by_name[name].shedding = True
        for number in range(10):
            await world.search(request_id=f"r{number}")
        sent = [line for line in world.log.lines if "catalogue-0" in line and "<-" in line]

        assert len(sent) <= 10 + 10 + 0.2 * 20 + 1
        await world.stop()

    async def test_another_service_keeps_its_retries(self) -> None:
        world = await start_query_harness()
        for name in ("catalogue-0-0", "catalogue-0-1", "catalogue-1-0"):
            world.endpoints_by_name[name].shedding = True
        for number in range(5):
            await world.search(request_id=f"r{number}")

        assert all("missing part-0 " in line for line in world.log.lines if "=>" in line)
        await world.stop()

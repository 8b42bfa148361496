"""Tests of whole searches: preferences, records, refusals and retries."""

import asyncio

import pytest

from fakes import QueryHarness, start_query_harness
from radishmount.codes import Code, RunStatus
from radishmount.endpoints import SearchTerms
from radishmount.queries import SearchCall, SearchVerdict
from support import objects_for


pytestmark = pytest.mark.looptime


async def make_shard_unreachable(harness: QueryHarness) -> None:
    """Make every replica of a shard unreachable, and wait until the instance has noticed."""
    for name in ("catalogue-0-0", "catalogue-0-1"):
        harness.endpoints_by_name[name].unreachable = True
    await asyncio.sleep(4.0)


async def prefer_tail(harness: QueryHarness) -> None:
    objects = objects_for(harness.addresses)
    for item in objects:
        if item["kind"] == "rule":
            item["prefer"] = "tail"
    harness.objects_by_version[2] = objects
    harness.platform.publish(2)
    await asyncio.sleep(0.1)


async def search_duration_ms(harness: QueryHarness) -> float:
    began_s = asyncio.get_running_loop().time()
    await harness.search(deadline_ms=200.0)
    return (asyncio.get_running_loop().time() - began_s) * 1000.0


class TestPreference:
    """Whether a rule prefers coverage or tail latency."""

    async def test_coverage_waits_for_a_replica_to_come_back(self) -> None:
        harness = await start_query_harness()
        await make_shard_unreachable(harness)

        assert 190.0 < await search_duration_ms(harness) <= 200.0
        await harness.stop()

    async def test_tail_answers_early_when_no_replica_is_left(self) -> None:
        harness = await start_query_harness()
        await prefer_tail(harness)
        await make_shard_unreachable(harness)

        assert 95.0 < await search_duration_ms(harness) < 150.0
        assert "missing part-0" in harness.log.lines[-1]
        await harness.stop()

    async def test_tail_still_waits_for_a_slow_replica(self) -> None:
        harness = await start_query_harness()
        await prefer_tail(harness)
        for endpoint in harness.endpoints_by_name.values():
            endpoint.service_ms = 150.0

        assert 149.0 < await search_duration_ms(harness) < 200.0
        assert "missing none" in harness.log.lines[-1]
        await harness.stop()


class TestRecords:
    """What is recorded for `/explain`."""

    async def test_a_partial_search_is_recorded_with_its_attempts(self) -> None:
        harness = await start_query_harness()
        for name in ("catalogue-0-0", "catalogue-0-1"):
            harness.endpoints_by_name[name].shedding = True
        await harness.search()
        record = harness.nodes_by_name["entry-a"].query_context.explain_log.find("r1")

        assert record is not None
        assert record.verdict is SearchVerdict.PARTIAL
        assert record.missing == ("part-0",)
        assert record.attempts[0].result == "SHED"
        assert {attempt.purpose for attempt in record.attempts} == {"first", "retry"}
        await harness.stop()

    async def test_a_fast_complete_search_is_not_recorded(self) -> None:
        harness = await start_query_harness()
        await harness.search()

        assert harness.nodes_by_name["entry-a"].query_context.explain_log.find("r1") is None
        await harness.stop()

    async def test_a_refusal_before_anything_was_sent_says_not_run(self) -> None:
        harness = await start_query_harness()
        for endpoint in harness.endpoints_by_name.values():
            endpoint.unreachable = True
        await asyncio.sleep(4.0)
        call = SearchCall("workshop", "catalogue", SearchTerms("washi"), 100.0)
        refusal = (await harness.nodes_by_name["entry-a"].search("r1", call)).unwrap_err()

        assert (refusal.code, refusal.ran) == (Code.NO_SNAPSHOT, RunStatus.NOT_RUN)
        await harness.stop()


class TestRetries:
    """A shard whose replicas all fail is retried rarely, at no cost to the retries of others."""

    async def test_the_retry_budget_limits_the_attempts(self) -> None:
        harness = await start_query_harness()
        for name in ("catalogue-0-0", "catalogue-0-1"):
            harness.endpoints_by_name[name].shedding = True
        for number in range(10):
            await harness.search(request_id=f"r{number}")
        sent = [line for line in harness.log.lines if "catalogue-0" in line and "<-" in line]

        assert len(sent) <= 10 + 10 + 0.2 * 20 + 1
        await harness.stop()

    async def test_another_service_keeps_its_retries(self) -> None:
        harness = await start_query_harness()
        for name in ("catalogue-0-0", "catalogue-0-1", "catalogue-1-0"):
            harness.endpoints_by_name[name].shedding = True
        for number in range(5):
            await harness.search(request_id=f"r{number}")

        assert all("missing part-0 " in line for line in harness.log.lines if "=>" in line)
        await harness.stop()

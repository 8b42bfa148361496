"""A search from end to end: snapshot, fan-out, merge, and another snapshot if one is gone."""

from collections.abc import Callable, Sequence
from functools import partial

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal, RunStatus
from radishmount.endpoints import Attempt
from radishmount.publication import Shard
from radishmount.queries._context import QueryContext
from radishmount.queries._explain import SearchVerdict, record_of
from radishmount.queries._fan_out import FanOut
from radishmount.queries._merge import merge_rows
from radishmount.queries._search import Search, SearchAnswer
from radishmount.snapshots import (
    Snapshot,
    choose_complete_snapshot,
    choose_partial_snapshot,
    coverage_of,
    may_become_complete,
)


__all__ = ["run_search"]

MAX_EVIDENCE_WAIT_MS = 100.0
SLOW_RATIO = 0.5

ShardsOf = Callable[[], Sequence[Shard]]


async def run_search(
    search: Search, shards_of: ShardsOf, tools: QueryContext
) -> Result[SearchAnswer, Refusal]:
    """Answer `search` from one snapshot, complete or with the coverage that it has.

    `shards_of` returns the shards of the publication in force, which may change meanwhile.
    """
    attempts: list[Attempt] = []
    result = await _search(search, shards_of, tools, attempts)
    took_ms = tools.clock.now_ms() - (search.deadline_at_ms - search.deadline_ms)
    verdict = _verdict(search, result, took_ms)
    if verdict is not None:
        tools.counters.add("explained", verdict.value)
        tools.explain_log.add(record_of(search, verdict, result, attempts, tools.clock))
    return result


async def _search(
    search: Search, shards_of: ShardsOf, tools: QueryContext, attempts: list[Attempt]
) -> Result[SearchAnswer, Refusal]:
    given_up: set[int] = set()
    while True:
        if tools.clock.now_ms() >= search.deadline_at_ms:
            return Err(Refusal(Code.DEADLINE_PASSED, ran=_ran(attempts)))
        snapshot = await _snapshot(search, shards_of, tools, given_up)
        if snapshot is None:
            return Err(Refusal(Code.NO_SNAPSHOT, search.collection.name, _ran(attempts)))
        tried = {*given_up, snapshot.index_version}
        other_snapshot = partial(_whole, search, shards_of, tools, tried)
        fan_out = FanOut(search, snapshot, tools, other_snapshot, len(attempts))
        await fan_out.run()
        attempts.extend(fan_out.attempts)
        if fan_out.must_restart:
            tools.counters.add("snapshot_restarts")
            given_up = tried
            continue
        return Ok(_answer(search, fan_out, len(attempts)))


async def _snapshot(
    search: Search, shards_of: ShardsOf, tools: QueryContext, given_up: set[int]
) -> Snapshot | None:
    """Return a whole snapshot; wait shortly for old evidence before one with holes is taken."""
    now_ms = tools.clock.now_ms()
    wait_until_ms = now_ms + min(MAX_EVIDENCE_WAIT_MS, (search.deadline_at_ms - now_ms) / 2.0)
    endpoints_of = tools.pool.endpoints_of
    while True:
        snapshot = _whole(search, shards_of, tools, given_up)
        if snapshot is not None:
            return snapshot
        now_ms = tools.clock.now_ms()
        shards = shards_of()
        if now_ms >= wait_until_ms or not may_become_complete(shards, endpoints_of, now_ms):
            name = search.collection.name
            return choose_partial_snapshot(name, shards, endpoints_of, now_ms, given_up)
        tools.counters.add("evidence_waits")
        await tools.pool.wait_for_update(wait_until_ms - now_ms)


def _whole(
    search: Search, shards_of: ShardsOf, tools: QueryContext, given_up: set[int]
) -> Snapshot | None:
    now_ms = tools.clock.now_ms()
    name = search.collection.name
    return choose_complete_snapshot(name, shards_of(), tools.pool.endpoints_of, now_ms, given_up)


def _ran(attempts: list[Attempt]) -> RunStatus:
    """Tell whether any attempt left for an endpoint."""
    return (
        RunStatus.UNKNOWN if any(a.sent_at_ms is not None for a in attempts) else RunStatus.NOT_RUN
    )


def _verdict(
    search: Search, result: Result[SearchAnswer, Refusal], took_ms: float
) -> SearchVerdict | None:
    if isinstance(result, Err):
        return SearchVerdict.REFUSED
    if not result.ok_value.coverage.complete:
        return SearchVerdict.PARTIAL
    return SearchVerdict.SLOW if took_ms > SLOW_RATIO * search.deadline_ms else None


def _answer(search: Search, fan_out: FanOut, sub_requests: int) -> SearchAnswer:
    replies = fan_out.replies
    answered = [fan_out.progress_by_shard[reply.shard].shard.keys for reply in replies]
    return SearchAnswer(
        request_id=search.request_id,
        index_version=fan_out.snapshot.index_version,
        rows=merge_rows(replies, search.terms.limit),
        coverage=coverage_of(search.collection, search.terms.keys, answered),
        sub_requests=sub_requests,
    )

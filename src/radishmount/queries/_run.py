"""Runs a search: chooses a snapshot, fans out and merges, or restarts with another snapshot."""

from collections.abc import Callable, Sequence
from functools import partial

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal, RunStatus
from radishmount.endpoints import Attempt
from radishmount.publication import Shard
from radishmount.queries._context import QueryContext
from radishmount.queries._explain import SearchVerdict, make_search_record
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

MAX_PROBE_WAIT_MS = 100.0
SLOW_DEADLINE_RATIO = 0.5

GetShards = Callable[[], Sequence[Shard]]


async def run_search(
    search: Search, get_shards: GetShards, context: QueryContext
) -> Result[SearchAnswer, Refusal]:
    """Answer `search` from one snapshot, completely or with partial coverage.

    `get_shards` returns the shards of the active publication, which may change during the search.
    """
    attempts: list[Attempt] = []
    result = await _search_until_answered(search, get_shards, context, attempts)
    took_ms = context.clock.now_ms() - (search.deadline_at_ms - search.deadline_ms)
    verdict = _determine_verdict(search, result, took_ms)
    if verdict is not None:
        context.counters.add("explained", verdict.value)
        context.explain_log.add(
            make_search_record(search, verdict, result, attempts, context.clock)
        )
    return result


async def _search_until_answered(
    search: Search, get_shards: GetShards, context: QueryContext, attempts: list[Attempt]
) -> Result[SearchAnswer, Refusal]:
    excluded_versions: set[int] = set()
    while True:
        if context.clock.now_ms() >= search.deadline_at_ms:
            return Err(Refusal(Code.DEADLINE_PASSED, ran=_run_status(attempts)))
        snapshot = await _wait_for_snapshot(search, get_shards, context, excluded_versions)
        if snapshot is None:
            return Err(Refusal(Code.NO_SNAPSHOT, search.collection.name, _run_status(attempts)))
        tried_versions = {*excluded_versions, snapshot.index_version}
        find_other_snapshot = partial(
            _find_complete_snapshot, search, get_shards, context, tried_versions
        )
        fan_out = FanOut(search, snapshot, context, find_other_snapshot, len(attempts))
        await fan_out.run()
        attempts.extend(fan_out.attempts)
        if fan_out.must_restart:
            context.counters.add("snapshot_restarts")
            excluded_versions = tried_versions
            continue
        return Ok(_make_answer(search, fan_out, len(attempts)))


async def _wait_for_snapshot(
    search: Search, get_shards: GetShards, context: QueryContext, excluded_versions: set[int]
) -> Snapshot | None:
    """Return a complete snapshot, or a partial one after a short wait for probes, or none.

    The wait lasts only while some service without an available replica has one that awaits a
    probe.
    """
    now_ms = context.clock.now_ms()
    wait_until_ms = now_ms + min(MAX_PROBE_WAIT_MS, (search.deadline_at_ms - now_ms) / 2.0)
    endpoints_of = context.pool.endpoints_of
    while True:
        snapshot = _find_complete_snapshot(search, get_shards, context, excluded_versions)
        if snapshot is not None:
            return snapshot
        now_ms = context.clock.now_ms()
        shards = get_shards()
        if now_ms >= wait_until_ms or not may_become_complete(shards, endpoints_of, now_ms):
            name = search.collection.name
            return choose_partial_snapshot(name, shards, endpoints_of, now_ms, excluded_versions)
        context.counters.add("evidence_waits")
        await context.pool.wait_for_update(wait_until_ms - now_ms)


def _find_complete_snapshot(
    search: Search, get_shards: GetShards, context: QueryContext, excluded_versions: set[int]
) -> Snapshot | None:
    now_ms = context.clock.now_ms()
    name = search.collection.name
    return choose_complete_snapshot(
        name, get_shards(), context.pool.endpoints_of, now_ms, excluded_versions
    )


def _run_status(attempts: list[Attempt]) -> RunStatus:
    """Return `UNKNOWN` if any attempt was sent to an endpoint, else `NOT_RUN`."""
    return (
        RunStatus.UNKNOWN if any(a.sent_at_ms is not None for a in attempts) else RunStatus.NOT_RUN
    )


def _determine_verdict(
    search: Search, result: Result[SearchAnswer, Refusal], took_ms: float
) -> SearchVerdict | None:
    if isinstance(result, Err):
        return SearchVerdict.REFUSED
    if not result.ok_value.coverage.complete:
        return SearchVerdict.PARTIAL
    return SearchVerdict.SLOW if took_ms > SLOW_DEADLINE_RATIO * search.deadline_ms else None


def _make_answer(search: Search, fan_out: FanOut, sub_requests: int) -> SearchAnswer:
    replies = fan_out.replies
    answered_keys = [fan_out.progress_by_shard[reply.shard].shard.keys for reply in replies]
    return SearchAnswer(
        request_id=search.request_id,
        index_version=fan_out.snapshot.index_version,
        rows=merge_rows(replies, search.terms.limit),
        coverage=coverage_of(search.collection, search.terms.keys, answered_keys),
        sub_requests=sub_requests,
    )

"""A search from end to end: snapshot, fan-out, merge, and another snapshot if one is gone."""

from collections.abc import Sequence

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal
from radishmount.publication import Shard
from radishmount.queries._fan_out import FanOut
from radishmount.queries._merge import merge_rows
from radishmount.queries._search import Answer, Search
from radishmount.queries._tools import QueryTools
from radishmount.snapshots import choose_snapshot, coverage_of


__all__ = ["run_search"]


async def run_search(
    search: Search, shards: Sequence[Shard], tools: QueryTools
) -> Result[Answer, Refusal]:
    """Answer `search` from one snapshot, complete or with the coverage that it has."""
    below: int | None = None
    sub_requests = 0
    while True:
        now_ms = tools.clock.now_ms()
        if now_ms >= search.deadline_at_ms:
            return Err(Refusal(Code.DEADLINE_PASSED))
        name = search.collection.name
        snapshot = choose_snapshot(name, shards, tools.pool.endpoints_of, now_ms, below)
        if snapshot is None:
            return Err(Refusal(Code.NO_SNAPSHOT, detail=name))
        fan_out = FanOut(search, snapshot, tools)
        await fan_out.run()
        sub_requests += fan_out.attempts
        if fan_out.version_is_gone:
            tools.counters.add("snapshot_restarts")
            below = snapshot.index_version
            continue
        return Ok(_answer(search, fan_out, sub_requests))


def _answer(search: Search, fan_out: FanOut, sub_requests: int) -> Answer:
    replies = fan_out.replies
    answered = [fan_out.progress_by_shard[reply.shard].shard.keys for reply in replies]
    return Answer(
        request_id=search.request_id,
        index_version=fan_out.snapshot.index_version,
        rows=merge_rows(replies, search.terms.limit),
        coverage=coverage_of(search.collection, search.terms.keys, answered),
        sub_requests=sub_requests,
    )

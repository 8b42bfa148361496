"""Queries: fan-out of searches to shards, hedging, retries, deadlines and merging of replies."""

from radishmount.queries._budget import SlidingWindowBudget
from radishmount.queries._context import QueryContext
from radishmount.queries._explain import (
    AttemptRecord,
    ExplainableRecord,
    ExplainLog,
    SearchRecord,
    SearchVerdict,
)
from radishmount.queries._fan_out import FanOut
from radishmount.queries._hedge import LatencyWindow, exchange_timeout_ms, hedge_delay_ms
from radishmount.queries._merge import merge_rows
from radishmount.queries._run import run_search
from radishmount.queries._search import Search, SearchAnswer, SearchCall
from radishmount.queries._service_state import ServiceState, is_overloaded
from radishmount.queries._shard_progress import ShardProgress


__all__ = [
    "SearchAnswer",
    "AttemptRecord",
    "ExplainLog",
    "ExplainableRecord",
    "SlidingWindowBudget",
    "FanOut",
    "LatencyWindow",
    "QueryContext",
    "SearchRecord",
    "Search",
    "SearchCall",
    "ServiceState",
    "ShardProgress",
    "SearchVerdict",
    "hedge_delay_ms",
    "is_overloaded",
    "merge_rows",
    "exchange_timeout_ms",
    "run_search",
]

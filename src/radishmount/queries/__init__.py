"""Queries: fan-out, hedging, deadlines, merge."""

from radishmount.queries._budget import ExtraBudget
from radishmount.queries._explain import AttemptRecord, ExplainLog, RequestRecord, Verdict
from radishmount.queries._fan_out import FanOut, ShardProgress
from radishmount.queries._hedge import LatencyWindow, hedge_delay_ms
from radishmount.queries._merge import merge_rows
from radishmount.queries._run import run_search
from radishmount.queries._search import Answer, Search, SearchCall
from radishmount.queries._tools import QueryTools


__all__ = [
    "Answer",
    "AttemptRecord",
    "ExplainLog",
    "ExtraBudget",
    "FanOut",
    "LatencyWindow",
    "QueryTools",
    "RequestRecord",
    "Search",
    "SearchCall",
    "ShardProgress",
    "Verdict",
    "hedge_delay_ms",
    "merge_rows",
    "run_search",
]

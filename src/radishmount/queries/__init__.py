"""Queries: fan-out, hedging, deadlines, merge."""

from radishmount.queries._budget import ExtraBudget
from radishmount.queries._explain import (
    AttemptRecord,
    Explained,
    ExplainLog,
    RequestRecord,
    Verdict,
)
from radishmount.queries._fan_out import FanOut
from radishmount.queries._hedge import LatencyWindow, hedge_delay_ms, progress_limit_ms
from radishmount.queries._merge import merge_rows
from radishmount.queries._progress import ShardProgress
from radishmount.queries._run import run_search
from radishmount.queries._search import Answer, Search, SearchCall
from radishmount.queries._service import ServiceRecord, is_pressed
from radishmount.queries._tools import QueryTools


__all__ = [
    "Answer",
    "AttemptRecord",
    "ExplainLog",
    "Explained",
    "ExtraBudget",
    "FanOut",
    "LatencyWindow",
    "QueryTools",
    "RequestRecord",
    "Search",
    "SearchCall",
    "ServiceRecord",
    "ShardProgress",
    "Verdict",
    "hedge_delay_ms",
    "is_pressed",
    "merge_rows",
    "progress_limit_ms",
    "run_search",
]

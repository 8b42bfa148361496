"""Trials: their plans, what is counted in them, and what is shown of them."""

from radishmount.trial._arrivals import Arrival, arrivals_of
from radishmount.trial._bounds import BoundOutcome, check_bounds
from radishmount.trial._drive import Ask, drive
from radishmount.trial._figures import (
    ControlCost,
    Figures,
    extra_load_ratio,
    figures_of,
    latency_histogram,
)
from radishmount.trial._judge import LOAD_PREFIX, judge_run
from radishmount.trial._naive import NaiveCaller, row_told
from radishmount.trial._plan import (
    BoundPlan,
    CollectionPlan,
    FaultKind,
    FaultPlan,
    LoadPlan,
    RegionPlan,
    ServicePlan,
    TrialPlan,
    WindowPlan,
)
from radishmount.trial._records import CallRecord, CallTry, EndpointRecord, RowTold, Told
from radishmount.trial._region import objects_of, parts_of, shards_of
from radishmount.trial._report import report_page
from radishmount.trial._summary import Summary, result_of, result_text
from radishmount.trial._versions import EntrySight, VersionWatch
from radishmount.trial._violations import Violations, count_violations


__all__ = [
    "Arrival",
    "Ask",
    "BoundOutcome",
    "BoundPlan",
    "LOAD_PREFIX",
    "CallRecord",
    "CallTry",
    "CollectionPlan",
    "ControlCost",
    "EndpointRecord",
    "EntrySight",
    "FaultKind",
    "FaultPlan",
    "Figures",
    "LoadPlan",
    "NaiveCaller",
    "RegionPlan",
    "RowTold",
    "ServicePlan",
    "Summary",
    "Told",
    "TrialPlan",
    "VersionWatch",
    "Violations",
    "WindowPlan",
    "arrivals_of",
    "check_bounds",
    "count_violations",
    "drive",
    "extra_load_ratio",
    "figures_of",
    "judge_run",
    "latency_histogram",
    "objects_of",
    "parts_of",
    "report_page",
    "result_of",
    "result_text",
    "row_told",
    "shards_of",
]

"""Trials: their plans, the figures and violations measured in a run, and the reports."""

from radishmount.trial._arrivals import Arrival, arrivals_of
from radishmount.trial._baseline import BaselineCaller, row_origin
from radishmount.trial._bounds import BoundOutcome, check_bounds
from radishmount.trial._drive import MakeCall, drive
from radishmount.trial._evaluation import LOAD_PREFIX, evaluate_run
from radishmount.trial._figures import (
    ControlCost,
    Figures,
    extra_load_ratio,
    figures_of,
    latency_histogram,
)
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
from radishmount.trial._records import (
    CallAttempt,
    CallOutcome,
    CallRecord,
    EndpointRecord,
    RowOrigin,
)
from radishmount.trial._region import objects_of, parts_of, shards_of
from radishmount.trial._report import report_page
from radishmount.trial._summary import Summary, result_of, result_text
from radishmount.trial._versions import EntryObservation, VersionMonitor
from radishmount.trial._violations import Violations, count_violations


__all__ = [
    "LOAD_PREFIX",
    "Arrival",
    "BaselineCaller",
    "BoundOutcome",
    "BoundPlan",
    "CallRecord",
    "CallAttempt",
    "CollectionPlan",
    "ControlCost",
    "EndpointRecord",
    "EntryObservation",
    "FaultKind",
    "FaultPlan",
    "Figures",
    "LoadPlan",
    "MakeCall",
    "RegionPlan",
    "RowOrigin",
    "ServicePlan",
    "Summary",
    "CallOutcome",
    "TrialPlan",
    "VersionMonitor",
    "Violations",
    "WindowPlan",
    "arrivals_of",
    "check_bounds",
    "count_violations",
    "drive",
    "evaluate_run",
    "extra_load_ratio",
    "figures_of",
    "latency_histogram",
    "objects_of",
    "parts_of",
    "report_page",
    "result_of",
    "result_text",
    "row_origin",
    "shards_of",
]

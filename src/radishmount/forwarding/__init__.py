"""Forwarding: sends a request to one endpoint, or to one endpoint of each shard."""

from radishmount.forwarding._context import ForwardContext
from radishmount.forwarding._event_loop_lag import EventLoopLag
from radishmount.forwarding._execution import ForwardExecution
from radishmount.forwarding._hedge import has_queued_requests
from radishmount.forwarding._merge import RECORD_BYTES, merge_top_records
from radishmount.forwarding._outcome import ForwardOutcome, MergedAnswer
from radishmount.forwarding._plan import ForwardPlan, make_plan
from radishmount.forwarding._request_record import (
    ForwardAttempt,
    ForwardRecord,
    ForwardVerdict,
    ForwardView,
)
from radishmount.forwarding._retry_budget import ForwardRetryBudget, RetryBudgetSettings
from radishmount.forwarding._run import forward


__all__ = [
    "RECORD_BYTES",
    "ForwardAttempt",
    "ForwardRetryBudget",
    "ForwardPlan",
    "ForwardRecord",
    "ForwardContext",
    "ForwardVerdict",
    "ForwardView",
    "ForwardOutcome",
    "ForwardExecution",
    "MergedAnswer",
    "RetryBudgetSettings",
    "EventLoopLag",
    "forward",
    "merge_top_records",
    "has_queued_requests",
    "make_plan",
]

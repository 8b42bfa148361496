"""Forwarding: a caller's request goes to one endpoint, or to one of each shard, and back."""

from radishmount.forwarding._budget import ForwardBudget, RepeatBounds
from radishmount.forwarding._gather import Gather
from radishmount.forwarding._hedge import is_full
from radishmount.forwarding._lag import TurnLag
from radishmount.forwarding._outcome import Forwarded, MergedAnswer
from radishmount.forwarding._plan import ForwardPlan, make_plan
from radishmount.forwarding._record import (
    ForwardAttempt,
    ForwardRecord,
    ForwardVerdict,
    ForwardView,
)
from radishmount.forwarding._records import RECORD_BYTES, greatest_records
from radishmount.forwarding._run import forward
from radishmount.forwarding._tools import ForwardTools


__all__ = [
    "RECORD_BYTES",
    "ForwardAttempt",
    "ForwardBudget",
    "ForwardPlan",
    "ForwardRecord",
    "ForwardTools",
    "ForwardVerdict",
    "ForwardView",
    "Forwarded",
    "Gather",
    "MergedAnswer",
    "RepeatBounds",
    "TurnLag",
    "forward",
    "greatest_records",
    "is_full",
    "make_plan",
]

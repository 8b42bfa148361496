"""Admission: quotas by caller, priorities, queue limits and early refusal."""

from radishmount.admission._admission import Admission, ShareOf
from radishmount.admission._lane import CrowdingOf, Lane, Permit
from radishmount.admission._limit import ConcurrencyLimit
from radishmount.admission._quota import Quotas, TokenBucket
from radishmount.admission._share import crowding_at, share_of_slots


__all__ = [
    "Admission",
    "ConcurrencyLimit",
    "CrowdingOf",
    "Lane",
    "Permit",
    "Quotas",
    "ShareOf",
    "TokenBucket",
    "crowding_at",
    "share_of_slots",
]

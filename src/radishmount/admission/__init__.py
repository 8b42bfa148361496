"""Admission: quotas by caller, priorities and queue limits."""

from radishmount.admission._admission import Admission, TokenBucket


__all__ = ["Admission", "TokenBucket"]

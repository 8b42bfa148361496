"""The mechanisms that can be switched off one by one, to measure what each is worth."""

from dataclasses import dataclass


__all__ = ["EVERY_MECHANISM", "QueryPolicy"]


@dataclass(frozen=True, slots=True)
class QueryPolicy:
    """Which mechanisms are in use. Only trials switch any of them off.

    QueryPolicy(hedging=False)
    """

    hedging: bool = True
    hedge_backoff: bool = True
    retries: bool = True
    reports: bool = True
    ejection: bool = True
    steady_recovery: bool = True
    own_data_centre_first: bool = True
    ramp: bool = True
    holders: bool = True
    adaptive_limits: bool = True
    progress_limits: bool = True
    snapshot_restarts: bool = True


EVERY_MECHANISM = QueryPolicy()

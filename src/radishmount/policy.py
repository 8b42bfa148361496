"""The mechanisms that can be switched off one by one, to measure what each is worth."""

from dataclasses import dataclass


__all__ = ["DEFAULT_POLICY", "QueryPolicy"]


@dataclass(frozen=True, slots=True)
class QueryPolicy:
    """Which mechanisms are in use. Trials switch them off one by one.

    `probes` is off where discovery vouches for the endpoints, which then are asked only after a
    connection was lost.

    QueryPolicy(hedging=False)
    """

    probes: bool = True
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


DEFAULT_POLICY = QueryPolicy()

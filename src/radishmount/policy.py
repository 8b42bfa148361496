"""Mechanisms that can be switched off one by one, to measure the effect of each."""

from dataclasses import dataclass


__all__ = ["DEFAULT_POLICY", "QueryPolicy"]


@dataclass(frozen=True, slots=True)
class QueryPolicy:
    """Which mechanisms are in use. Trials switch them off one by one.

    `probes` is off where discovery tracks the health of endpoints, which are then probed only
    after a connection was lost. `hedge_backoff` withholds hedges while a service is overloaded.
    `reports` uses the load that endpoints report. `ramp` is the slow start of new endpoints.
    `holders` limits which instances connect to an endpoint, and with how many connections.
    `adaptive_limits` bounds the requests in flight to each endpoint. `progress_limits` are the
    timeouts of single exchanges. `snapshot_restarts` starts a search again from another snapshot
    where the first one can no longer be answered completely.

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

"""The plan of a forwarded request: its services and its time limits."""

from dataclasses import dataclass
from math import ceil
from random import Random

from radishmount.endpoints import ForwardCall
from radishmount.routes import Route, choose_service


__all__ = ["ForwardPlan", "make_plan"]

ROUNDING_TOLERANCE = 1e-9  # for a share times a count of services; far below one reply
ANSWER_MARGIN_MS = 10.0  # from the decision to answer until the caller has received it
CALLER_TRANSIT_MS = 24.0  # to connect from another data centre, and to send request and answer


@dataclass(frozen=True, slots=True)
class ForwardPlan:
    """One request, the services that it is sent to, and its times by the clock in milliseconds.

    An answer needs the replies of at least `min_replies` services. From `partial_reply_at_ms` on
    an answer without some of the shards is preferred to a late one. `deadline_at_ms` is when the
    caller's deadline or the route's timeout ends, whichever is earlier, less `ANSWER_MARGIN_MS`.
    """

    call: ForwardCall
    route: Route
    services: tuple[str, ...]
    min_replies: int
    arrived_at_ms: float
    partial_reply_at_ms: float
    deadline_at_ms: float

    @property
    def is_fan_out(self) -> bool:
        """Return whether the answer is merged from the replies of all services."""
        return bool(self.route.shards)


def make_plan(
    call: ForwardCall,
    route: Route,
    arrived_at_ms: float,
    time_left_ms: float | None,
    random: Random,
    lag_ms: float = 0.0,
) -> ForwardPlan:
    """Return the plan of `call`; `time_left_ms` is the caller's remaining time, none if not given.

    `lag_ms` is how much earlier a partial answer is decided on, to make up for event loop lag.
    """
    limit_ms = route.timeout_ms if time_left_ms is None else min(route.timeout_ms, time_left_ms)
    services = route.shards or (choose_service(route, random),)
    return ForwardPlan(
        call=call,
        route=route,
        services=services,
        min_replies=max(1, ceil(route.min_share * len(services) - ROUNDING_TOLERANCE)),
        arrived_at_ms=arrived_at_ms,
        partial_reply_at_ms=arrived_at_ms + route.target_latency_ms - CALLER_TRANSIT_MS - lag_ms,
        deadline_at_ms=arrived_at_ms + max(0.0, limit_ms - ANSWER_MARGIN_MS),
    )

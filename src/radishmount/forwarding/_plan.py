"""What is decided about a request before anything is sent."""

from dataclasses import dataclass
from math import ceil
from random import Random

from radishmount.endpoints import ForwardCall
from radishmount.routes import Route, choose_service


__all__ = ["ForwardPlan", "make_plan"]

ROUNDING = 1e-9  # of a share times a count, far below one part
ANSWER_MARGIN_MS = 10.0  # from the decision to answer until the caller has the last byte
CALLER_TRANSIT_MS = 24.0  # a new connection from another data centre, the request and the answer


@dataclass(frozen=True, slots=True)
class ForwardPlan:
    """One request, the services that it goes to, and its times on the clock in milliseconds.

    `min_replies` is how many parts an answer has at least. Past `partial_reply_at_ms` an answer
    without some of the shards is better than a late one; past `deadline_at_ms` the caller or the
    operator waits no longer.
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
        """Tell whether the answer is merged from the parts of all services."""
        return bool(self.route.shards)


def make_plan(
    call: ForwardCall,
    route: Route,
    arrived_at_ms: float,
    time_left_ms: float | None,
    random: Random,
    lag_ms: float = 0.0,
) -> ForwardPlan:
    """Return the plan of `call`; `time_left_ms` is how long the caller waits, where it says so.

    An instance that acts `lag_ms` late plans for that.
    """
    limit_ms = route.timeout_ms if time_left_ms is None else min(route.timeout_ms, time_left_ms)
    services = route.shards or (choose_service(route, random),)
    return ForwardPlan(
        call=call,
        route=route,
        services=services,
        min_replies=max(1, ceil(route.min_share * len(services) - ROUNDING)),
        arrived_at_ms=arrived_at_ms,
        partial_reply_at_ms=arrived_at_ms + route.target_latency_ms - CALLER_TRANSIT_MS - lag_ms,
        deadline_at_ms=arrived_at_ms + max(0.0, limit_ms - ANSWER_MARGIN_MS),
    )

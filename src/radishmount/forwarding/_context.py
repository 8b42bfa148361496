"""The dependencies of forwarding, and the state that its requests share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.endpoints import ChooseEndpoint, EndpointPool
from radishmount.forwarding._event_loop_lag import EventLoopLag
from radishmount.forwarding._plan import ForwardPlan
from radishmount.forwarding._request_record import ForwardRecord, ForwardView
from radishmount.forwarding._retry_budget import ForwardRetryBudget
from radishmount.queries import LatencyWindow


__all__ = ["ForwardContext"]


@dataclass(slots=True)
class ForwardContext:
    """Passed to every forwarded request of one instance, which is in `data_centre`.

    `observe` is called with the route, the verdict and the duration in milliseconds of each
    request that has ended. `on_record` is called with the records of these requests, but only with
    a sample of those that were answered as usual. `withholds_repeat` tells whether a hedge or retry
    of a request at a service would take room that first attempts need.
    """

    pool: EndpointPool
    clock: Clock
    random: Random
    choose: ChooseEndpoint
    counters: Counters
    retry_budget: ForwardRetryBudget = field(default_factory=ForwardRetryBudget)
    view: Callable[[], ForwardView] = ForwardView
    observe: Callable[[str, str, float], None] = lambda route, verdict, took_ms: None
    on_record: Callable[[ForwardRecord], None] = lambda record: None
    withholds_repeat: Callable[[ForwardPlan, str], bool] = lambda plan, service: False
    event_loop_lag: EventLoopLag = field(default_factory=EventLoopLag)
    data_centre: str | None = None
    latency_windows_by_route: dict[str, LatencyWindow] = field(default_factory=dict)

    def latency_window(self, route: str) -> LatencyWindow:
        """Return the recent latencies of the replies on a route."""
        window = self.latency_windows_by_route.get(route)
        if window is None:
            window = self.latency_windows_by_route[route] = LatencyWindow()
        return window

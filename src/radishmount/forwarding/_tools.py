"""What forwarding needs from outside, and what it remembers from request to request."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.endpoints import ChooseEndpoint, EndpointPool
from radishmount.forwarding._budget import ForwardBudget
from radishmount.forwarding._lag import TurnLag
from radishmount.forwarding._record import ForwardRecord, ForwardView
from radishmount.queries import LatencyWindow


__all__ = ["ForwardTools"]


@dataclass(slots=True)
class ForwardTools:
    """Handed to every forwarded request of one instance.

    `observe` takes route, verdict and milliseconds of each request that has ended, `tell` the
    record of those that are out of the ordinary and of some others.
    """

    pool: EndpointPool
    clock: Clock
    random: Random
    choose: ChooseEndpoint
    counters: Counters
    budget: ForwardBudget = field(default_factory=ForwardBudget)
    view: Callable[[], ForwardView] = ForwardView
    observe: Callable[[str, str, float], None] = lambda route, verdict, took_ms: None
    tell: Callable[[ForwardRecord], None] = lambda record: None
    lag: TurnLag = field(default_factory=TurnLag)
    windows_by_route: dict[str, LatencyWindow] = field(default_factory=dict)

    def window(self, route: str) -> LatencyWindow:
        """Return the recent latencies of the parts of a route."""
        window = self.windows_by_route.get(route)
        if window is None:
            window = self.windows_by_route[route] = LatencyWindow()
        return window

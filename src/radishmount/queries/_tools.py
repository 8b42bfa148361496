"""What a query needs from outside: endpoints, clock, budget and counters."""

from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.endpoints import Choose, EndpointPool
from radishmount.policy import QueryPolicy
from radishmount.queries._budget import ExtraBudget
from radishmount.queries._explain import ExplainLog
from radishmount.queries._hedge import LatencyWindow


__all__ = ["QueryTools"]


@dataclass(slots=True)
class QueryTools:
    """Handed to every query of one instance; also the root of what queries remember."""

    pool: EndpointPool
    clock: Clock
    choose: Choose
    counters: Counters
    policy: QueryPolicy = QueryPolicy()
    budget: ExtraBudget = field(default_factory=ExtraBudget)
    explain: ExplainLog = field(default_factory=ExplainLog)
    windows_by_service: dict[str, LatencyWindow] = field(default_factory=dict)

    def window_of(self, service: str) -> LatencyWindow:
        """Return the latencies of `service`."""
        window = self.windows_by_service.get(service)
        if window is None:
            window = self.windows_by_service[service] = LatencyWindow()
        return window

"""The state of one service that queries share: latencies, retry budget and overload."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from radishmount.endpoints import Endpoint
from radishmount.queries._budget import SlidingWindowBudget
from radishmount.queries._hedge import LatencyWindow


__all__ = ["ServiceState", "is_overloaded"]

RETRY_RATIO = 0.2
RETRY_RESERVE = 10.0
OVERLOAD_HOLD_MS = 1_000.0


@dataclass(slots=True)
class ServiceState:
    """What this instance has learned about one service from earlier queries."""

    name: str
    latency_window: LatencyWindow = field(default_factory=LatencyWindow)
    retry_budget: SlidingWindowBudget = field(
        default_factory=lambda: SlidingWindowBudget(reserve=RETRY_RESERVE)
    )
    overloaded_until_ms: float = 0.0

    def deposit_retry(self, now_ms: float) -> None:
        """Credit the retry budget for one first attempt."""
        self.retry_budget.deposit(RETRY_RATIO, now_ms)

    def may_hedge(self, endpoints: Iterable[Endpoint], now_ms: float) -> bool:
        """Return whether the service is not overloaded, and has not been for `OVERLOAD_HOLD_MS`."""
        if is_overloaded(endpoints, now_ms):
            self.overloaded_until_ms = now_ms + OVERLOAD_HOLD_MS
        return now_ms >= self.overloaded_until_ms


def is_overloaded(endpoints: Iterable[Endpoint], now_ms: float) -> bool:
    """Return whether most of the endpoints have recently shed requests or reported a queue."""
    total = 0
    overloaded = 0
    for endpoint in endpoints:
        total += 1
        last_ms = max(endpoint.shed_at_ms, endpoint.queued_at_ms)
        overloaded += now_ms - last_ms < OVERLOAD_HOLD_MS
    return 2 * overloaded > total

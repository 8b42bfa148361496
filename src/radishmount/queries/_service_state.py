"""What queries remember of one service: its latencies, its retries, and whether it is pressed."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from radishmount.endpoints import Endpoint
from radishmount.queries._budget import SlidingWindowBudget
from radishmount.queries._hedge import LatencyWindow


__all__ = ["ServiceState", "is_overloaded"]

RETRY_RATIO = 0.2
RETRY_RESERVE = 10.0
PRESSED_KEPT_MS = 1_000.0


@dataclass(slots=True)
class ServiceState:
    """Remembered by this instance for each service, from query to query."""

    name: str
    window: LatencyWindow = field(default_factory=LatencyWindow)
    retry_budget: SlidingWindowBudget = field(
        default_factory=lambda: SlidingWindowBudget(reserve=RETRY_RESERVE)
    )
    overloaded_until_ms: float = 0.0

    def deposit_retry(self, now_ms: float) -> None:
        """Allow what one first sub-request allows in retries."""
        self.retry_budget.deposit(RETRY_RATIO, now_ms)

    def may_hedge(self, endpoints: Iterable[Endpoint], now_ms: float) -> bool:
        """Tell whether the service is at ease, and has been for a while."""
        if is_overloaded(endpoints, now_ms):
            self.overloaded_until_ms = now_ms + PRESSED_KEPT_MS
        return now_ms >= self.overloaded_until_ms


def is_overloaded(endpoints: Iterable[Endpoint], now_ms: float) -> bool:
    """Tell whether most of the endpoints have just shed work or let it queue."""
    total = 0
    pressed = 0
    for endpoint in endpoints:
        total += 1
        last_ms = max(endpoint.shed_at_ms, endpoint.queued_at_ms)
        pressed += now_ms - last_ms < PRESSED_KEPT_MS
    return 2 * pressed > total

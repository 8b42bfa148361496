"""What all orders of an instance share: endpoints, clock, retry budget and counters."""

from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.endpoints import ChooseEndpoint, EndpointPool
from radishmount.orders._budget import RetryBudget


__all__ = ["OrderContext"]


@dataclass(slots=True)
class OrderContext:
    """The dependencies and the shared state of all orders of one instance."""

    pool: EndpointPool
    clock: Clock
    choose: ChooseEndpoint
    counters: Counters
    retry_budget: RetryBudget = field(default_factory=RetryBudget)

"""What an order needs from outside: endpoints, clock, budget and counters."""

from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.endpoints import ChooseEndpoint, EndpointPool
from radishmount.orders._budget import RetryBudget


__all__ = ["OrderContext"]


@dataclass(slots=True)
class OrderContext:
    """Handed to every order of one instance."""

    pool: EndpointPool
    clock: Clock
    choose: ChooseEndpoint
    counters: Counters
    retry_budget: RetryBudget = field(default_factory=RetryBudget)

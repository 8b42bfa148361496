"""What an order needs from outside: endpoints, clock, budget and counters."""

from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.endpoints import Choose, EndpointPool
from radishmount.queries import ExtraBudget


__all__ = ["OrderTools"]


@dataclass(slots=True)
class OrderTools:
    """Handed to every order of one instance."""

    pool: EndpointPool
    clock: Clock
    choose: Choose
    counters: Counters
    retry_budget: ExtraBudget = field(default_factory=lambda: ExtraBudget(tokens=10.0))

"""What a query needs from outside: endpoints, clock, budgets and counters."""

from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.endpoints import ChooseEndpoint, EndpointPool
from radishmount.policy import DEFAULT_POLICY, QueryPolicy
from radishmount.queries._budget import SlidingWindowBudget
from radishmount.queries._explain import ExplainLog
from radishmount.queries._service_state import ServiceState


__all__ = ["QueryContext"]


@dataclass(slots=True)
class QueryContext:
    """Handed to every query of one instance; also the root of what queries remember."""

    pool: EndpointPool
    clock: Clock
    choose: ChooseEndpoint
    counters: Counters
    policy: QueryPolicy = DEFAULT_POLICY
    explain_log: ExplainLog = field(default_factory=ExplainLog)
    hedge_budget: SlidingWindowBudget = field(default_factory=SlidingWindowBudget)
    service_states_by_name: dict[str, ServiceState] = field(default_factory=dict)

    def service_state(self, name: str) -> ServiceState:
        """Return what is remembered of a service."""
        record = self.service_states_by_name.get(name)
        if record is None:
            record = self.service_states_by_name[name] = ServiceState(name)
        return record

    def may_retry(self, service: ServiceState, now_ms: float) -> bool:
        """Take a retry out of the service's budget; it also leaves one hedge less."""
        if not self.policy.retries or not service.retry_budget.try_withdraw(now_ms):
            self.counters.add("retries_withheld", service.name)
            return False
        self.hedge_budget.withdraw(now_ms)
        return True

    def may_hedge(self, service: ServiceState, now_ms: float) -> bool:
        """Take a hedge out of the budget, unless the service is pressed."""
        if not self.policy.hedging:
            return False
        endpoints = self.pool.endpoints_of(service.name)
        if self.policy.hedge_backoff and not service.may_hedge(endpoints, now_ms):
            self.counters.add("hedges_withheld", "pressed")
            return False
        if not self.hedge_budget.try_withdraw(now_ms):
            self.counters.add("hedges_withheld", "budget")
            return False
        return True

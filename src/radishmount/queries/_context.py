"""The dependencies of queries, and the state that they share."""

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
    """Passed to every query of one instance; holds the state that queries share."""

    pool: EndpointPool
    clock: Clock
    choose: ChooseEndpoint
    counters: Counters
    policy: QueryPolicy = DEFAULT_POLICY
    explain_log: ExplainLog = field(default_factory=ExplainLog)
    hedge_budget: SlidingWindowBudget = field(default_factory=SlidingWindowBudget)
    service_states_by_name: dict[str, ServiceState] = field(default_factory=dict)

    def service_state(self, name: str) -> ServiceState:
        """Return the state of a service, created at its first use."""
        state = self.service_states_by_name.get(name)
        if state is None:
            state = self.service_states_by_name[name] = ServiceState(name)
        return state

    def try_reserve_retry(self, service: ServiceState, now_ms: float) -> bool:
        """Return whether a retry is allowed; if so, withdraw it from the retry budget.

        It is withdrawn from the hedge budget as well, which leaves one hedge fewer.
        """
        if not self.policy.retries or not service.retry_budget.try_withdraw(now_ms):
            self.counters.add("retries_withheld", service.name)
            return False
        self.hedge_budget.withdraw(now_ms)
        return True

    def try_reserve_hedge(self, service: ServiceState, now_ms: float) -> bool:
        """Return whether a hedge is allowed; if so, withdraw it from the hedge budget.

        No hedge is allowed while the service is overloaded.
        """
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

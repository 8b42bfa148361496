"""The retry budget of each service, divided among the instances without coordination."""

from dataclasses import dataclass, field

from radishmount.fleet import FleetShares
from radishmount.queries import SlidingWindowBudget


__all__ = ["ForwardRetryBudget", "RetryBudgetSettings"]

RATIO_MARGIN = 0.9  # the windows of the instances are not aligned, so a tenth is kept unused
SLACK_MARGIN = 0.8  # some instances do not yet count one that has just joined
# Assumed until the fleet is known: large enough that the shares stay within the slack.
ASSUMED_SHARES = FleetShares(instance_count=16, preferred_count=16)


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The repeats (retries and hedges) allowed for each service within `window_ms`.

    All instances together may send `ratio` repeats for each request, plus `slack`.
    """

    ratio: float = 0.2
    slack: float = 0.0
    window_ms: float = 10_000.0


@dataclass(slots=True)
class ForwardRetryBudget:
    """The repeats (retries and hedges) that this instance may send to each service.

    The ratio applies to the requests that this instance receives, so it is not divided. Half of
    the slack is divided among all listed instances, reachable or not, and the other half among
    the preferred instances, which are those that callers are sent to.
    """

    settings: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    shares: FleetShares = ASSUMED_SHARES
    budgets_by_service: dict[str, SlidingWindowBudget] = field(default_factory=dict)

    def set_shares(self, shares: FleetShares) -> None:
        """Divide the slack by the present numbers of listed and of preferred instances."""
        self.shares = shares
        self._update_budgets()

    def update_settings(self, settings: RetryBudgetSettings) -> None:
        """Apply new settings to every service. Repeats already sent still count."""
        self.settings = settings
        self._update_budgets()

    def deposit(self, service: str, now_ms: float) -> None:
        """Credit the budget of `service` for one request."""
        self._budget_for(service).deposit(self.settings.ratio * RATIO_MARGIN, now_ms)

    def try_withdraw(self, service: str, now_ms: float) -> bool:
        """Withdraw one repeat from the budget of `service`; return false when it has none left."""
        return self._budget_for(service).try_withdraw(now_ms)

    def balance(self, service: str, now_ms: float) -> float:
        """Return how many repeats may still be sent to `service`."""
        return self._budget_for(service).balance(now_ms)

    def _budget_for(self, service: str) -> SlidingWindowBudget:
        budget = self.budgets_by_service.get(service)
        if budget is None:
            budget = SlidingWindowBudget(self._reserve(), self.settings.window_ms)
            self.budgets_by_service[service] = budget
        return budget

    def _update_budgets(self) -> None:
        for budget in self.budgets_by_service.values():
            budget.reserve = self._reserve()
            budget.window_ms = self.settings.window_ms

    def _reserve(self) -> float:
        return self.shares.of(self.settings.slack * SLACK_MARGIN)

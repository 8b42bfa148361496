"""The budget of repeated requests to a service, which all instances share without talking."""

from dataclasses import dataclass, field

from radishmount.fleet import FleetShares
from radishmount.queries import SlidingWindowBudget


__all__ = ["ForwardRetryBudget", "RetryBudgetSettings"]

RATIO_MARGIN = 0.9  # the instances' windows do not begin together, so a tenth is kept back
SLACK_MARGIN = 0.8  # an instance that has just joined is not counted by all others yet
# A slack divided by this is safe until the fleet is known.
UNKNOWN_SHARES = FleetShares(instance_count=16, preferred_count=16)


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """What the operator allows each service in `window_ms`, over all instances.

    That is `ratio` repeats for each request and `slack` more.
    """

    ratio: float = 0.2
    slack: float = 0.0
    window_ms: float = 10_000.0


@dataclass(slots=True)
class ForwardRetryBudget:
    """The repeats that this instance may send, for each service.

    The ratio holds for the requests that come here, so it needs no division; the slack is divided
    over the instances that are listed, whether they can be reached or not, and half of it again
    over those that callers are sent to.
    """

    settings: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    shares: FleetShares = UNKNOWN_SHARES
    budgets_by_service: dict[str, SlidingWindowBudget] = field(default_factory=dict)

    def set_shares(self, shares: FleetShares) -> None:
        """Divide the slack over the instances that are listed, and those that carry requests."""
        self.shares = shares
        self._divide()

    def update_settings(self, bounds: RetryBudgetSettings) -> None:
        """Hold every service to new bounds. What was spent before counts on."""
        self.settings = bounds
        self._divide()

    def deposit(self, service: str, now_ms: float) -> None:
        """Earn what one request for `service` allows in repeats."""
        self._budget(service).deposit(self.settings.ratio * RATIO_MARGIN, now_ms)

    def try_withdraw(self, service: str, now_ms: float) -> bool:
        """Take one repeat out of the budget of `service`; tell whether there was one."""
        return self._budget(service).try_withdraw(now_ms)

    def balance(self, service: str, now_ms: float) -> float:
        """Return how many repeats the budget of `service` still has."""
        return self._budget(service).balance(now_ms)

    def _budget(self, service: str) -> SlidingWindowBudget:
        budget = self.budgets_by_service.get(service)
        if budget is None:
            budget = SlidingWindowBudget(self._reserve(), self.settings.window_ms)
            self.budgets_by_service[service] = budget
        return budget

    def _divide(self) -> None:
        for budget in self.budgets_by_service.values():
            budget.reserve = self._reserve()
            budget.window_ms = self.settings.window_ms

    def _reserve(self) -> float:
        return self.shares.of(self.settings.slack * SLACK_MARGIN)

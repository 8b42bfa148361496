"""The budget that bounds the retries of orders, so that shedding endpoints are not flooded."""

from dataclasses import dataclass


__all__ = ["RetryBudget"]

RETRY_RATIO = 0.2
KEPT_TOKENS = 20.0


@dataclass(slots=True)
class RetryBudget:
    """Grants one retry for every five orders, with a bounded reserve for a burst of failures."""

    tokens: float = KEPT_TOKENS

    def earn(self) -> None:
        """Count one order."""
        self.tokens = min(KEPT_TOKENS, self.tokens + RETRY_RATIO)

    def spend(self) -> bool:
        """Take one retry out of the budget; tell whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

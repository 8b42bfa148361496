"""The budget that bounds extra sub-requests to a share of the first ones."""

from dataclasses import dataclass


__all__ = ["ExtraBudget"]

KEPT_TOKENS = 50.0


@dataclass(slots=True)
class ExtraBudget:
    """Grants one extra sub-request for each 1/ratio first ones, and keeps a bounded reserve."""

    tokens: float = 0.0

    def earn(self, first_requests: int, ratio: float) -> None:
        """Add what `first_requests` allow at `ratio`."""
        self.tokens = min(KEPT_TOKENS, self.tokens + first_requests * ratio)

    def spend(self) -> bool:
        """Take one extra sub-request out of the budget; tell whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

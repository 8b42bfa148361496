"""A retry budget for orders, which keeps retries from overloading endpoints that shed load."""

from dataclasses import dataclass


__all__ = ["RetryBudget"]

RETRIES_PER_ORDER = 0.2
MAX_TOKENS = 20.0


@dataclass(slots=True)
class RetryBudget:
    """A token bucket: each order adds a fifth of a token, and each retry takes one.

    It starts full, so that a burst of failures may be retried.
    """

    tokens: float = MAX_TOKENS

    def deposit(self) -> None:
        """Add the share of a retry that one order earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRIES_PER_ORDER)

    def try_withdraw(self) -> bool:
        """Take one token for a retry, and return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

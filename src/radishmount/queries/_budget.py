"""Budgets that bound extra sub-requests to a share of the first ones, over the last seconds."""

from collections import deque
from dataclasses import dataclass, field


__all__ = ["SlidingWindowBudget"]

SLICES_IN_WINDOW = 10
DEFAULT_WINDOW_MS = 10_000.0  # some hundred searches, enough for a share of a few in a hundred
ROUNDING = 1e-6


@dataclass(slots=True)
class Slice:
    """What was earned and spent from `began_ms` on."""

    began_ms: float
    earned: float = 0.0
    spent: float = 0.0


@dataclass(slots=True)
class SlidingWindowBudget:
    """Grants as many extra sub-requests as were earned in the last `window_ms`, plus `reserve`.

    budget = SlidingWindowBudget()
    budget.deposit(100 * 0.05, now_ms)
    budget.try_withdraw(now_ms)
    """

    reserve: float = 0.0
    window_ms: float = DEFAULT_WINDOW_MS
    earned: float = 0.0
    spent: float = 0.0
    slices: deque[Slice] = field(default_factory=deque)

    def deposit(self, amount: float, now_ms: float) -> None:
        """Allow `amount` more."""
        self._slice(now_ms).earned += amount
        self.earned += amount

    def try_withdraw(self, now_ms: float) -> bool:
        """Take one extra sub-request out of the budget; tell whether there was one."""
        if self.balance(now_ms) + ROUNDING < 1.0:
            return False
        self.withdraw(now_ms)
        return True

    def balance(self, now_ms: float) -> float:
        """Return how many extra sub-requests may still be sent."""
        self._slice(now_ms)
        return self.earned + self.reserve - self.spent

    def withdraw(self, now_ms: float) -> None:
        """Count one extra sub-request that another budget granted."""
        self._slice(now_ms).spent += 1.0
        self.spent += 1.0

    def _slice(self, now_ms: float) -> Slice:
        """Return the slice of now; slices that are too old count no longer."""
        while self.slices and now_ms - self.slices[0].began_ms >= self.window_ms:
            old = self.slices.popleft()
            self.earned -= old.earned
            self.spent -= old.spent
        slice_ms = self.window_ms / SLICES_IN_WINDOW
        if not self.slices or now_ms - self.slices[-1].began_ms >= slice_ms:
            self.slices.append(Slice(now_ms))
        return self.slices[-1]

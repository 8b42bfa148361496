"""A budget that limits retries and hedges to a share of the recent first attempts."""

from collections import deque
from dataclasses import dataclass, field


__all__ = ["SlidingWindowBudget"]

SLICES_IN_WINDOW = 10
DEFAULT_WINDOW_MS = 10_000.0  # several hundred searches, enough for a ratio of a few percent
ROUNDING_TOLERANCE = 1e-6


@dataclass(slots=True)
class Slice:
    """The deposits and withdrawals of one slice of the window, which starts at `began_ms`."""

    began_ms: float
    deposited: float = 0.0
    withdrawn: float = 0.0


@dataclass(slots=True)
class SlidingWindowBudget:
    """Allows as many withdrawals as were deposited in the last `window_ms`, plus `reserve`.

    A withdrawal is one retry or hedge.

        budget = SlidingWindowBudget()
        budget.deposit(100 * 0.05, now_ms)
        budget.try_withdraw(now_ms)
    """

    reserve: float = 0.0
    window_ms: float = DEFAULT_WINDOW_MS
    deposited: float = 0.0
    withdrawn: float = 0.0
    slices: deque[Slice] = field(default_factory=deque)

    def deposit(self, amount: float, now_ms: float) -> None:
        """Add `amount` to the budget until it leaves the window."""
        self._current_slice(now_ms).deposited += amount
        self.deposited += amount

    def try_withdraw(self, now_ms: float) -> bool:
        """Withdraw one; return false, and withdraw nothing, when less than one is left."""
        if self.balance(now_ms) + ROUNDING_TOLERANCE < 1.0:
            return False
        self.withdraw(now_ms)
        return True

    def balance(self, now_ms: float) -> float:
        """Return how much may still be withdrawn."""
        self._current_slice(now_ms)
        return self.deposited + self.reserve - self.withdrawn

    def withdraw(self, now_ms: float) -> None:
        """Withdraw one without a check, for a retry or hedge that another budget allowed."""
        self._current_slice(now_ms).withdrawn += 1.0
        self.withdrawn += 1.0

    def _current_slice(self, now_ms: float) -> Slice:
        """Return the current slice, after dropping the slices that have left the window."""
        while self.slices and now_ms - self.slices[0].began_ms >= self.window_ms:
            old = self.slices.popleft()
            self.deposited -= old.deposited
            self.withdrawn -= old.withdrawn
        slice_ms = self.window_ms / SLICES_IN_WINDOW
        if not self.slices or now_ms - self.slices[-1].began_ms >= slice_ms:
            self.slices.append(Slice(now_ms))
        return self.slices[-1]

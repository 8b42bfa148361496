"""How late an instance acts, for want of processor time."""

from dataclasses import dataclass


__all__ = ["EventLoopLag"]

RISE_WEIGHT = 0.3  # a burst of work is to be noticed within a few requests
FALL_WEIGHT = 0.05  # and remembered for some dozens
TURNS_OF_REQUEST = 2.0  # one before a request is seen, one before its answer leaves
LIMIT_MS = 30.0  # above this an instance is overloaded, and answers earlier help nobody
SAMPLE_LIMIT_MS = 80.0  # a process that stood still for seconds is not overloaded afterwards
OVERLOADED_MS = 40.0  # about half of the shortest target that routes usually have


@dataclass(slots=True)
class EventLoopLag:
    """A moving estimate of how long after its time a task gets its turn, in milliseconds.

    Replies that came together are handled one after the other, so an answer that is due now
    leaves only after them. On a small machine that takes a part of the target latency.
    """

    lag_ms: float = 0.0

    def add(self, late_ms: float) -> None:
        """Take how much later than planned a timer was handled."""
        late_ms = min(late_ms, SAMPLE_LIMIT_MS)
        weight = RISE_WEIGHT if late_ms > self.lag_ms else FALL_WEIGHT
        self.lag_ms += weight * (late_ms - self.lag_ms)

    def reply_margin_ms(self) -> float:
        """Return how much earlier an answer has to be decided on to leave in time."""
        return min(LIMIT_MS, TURNS_OF_REQUEST * self.lag_ms)

    def load(self) -> float:
        """Return the load that the lateness shows, 1.0 where the instance is too slow to use."""
        return self.lag_ms / OVERLOADED_MS

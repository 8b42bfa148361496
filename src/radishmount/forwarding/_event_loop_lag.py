"""Event loop lag: how late tasks run because the processor is busy."""

from dataclasses import dataclass


__all__ = ["EventLoopLag"]

RISE_WEIGHT = 0.3  # follows a burst of work within a few requests
FALL_WEIGHT = 0.05  # and forgets it over several dozen requests
TURNS_PER_REQUEST = 2.0  # turns of the loop: one to read the request, one to write the answer
MAX_REPLY_MARGIN_MS = 30.0  # above this an instance is overloaded; answering earlier is no help
MAX_SAMPLE_MS = 80.0  # a process that was suspended for seconds is not overloaded afterwards
OVERLOAD_LAG_MS = 40.0  # about half of the shortest target latency that routes usually have


@dataclass(slots=True)
class EventLoopLag:
    """A moving average of how late timers and tasks run, in milliseconds.

    Replies that arrive together are handled one after the other, so an answer that is due is sent
    only after them. On a small machine this takes up part of the target latency.
    """

    lag_ms: float = 0.0

    def add(self, sample_ms: float) -> None:
        """Add one sample: how much later than planned a timer was handled."""
        sample_ms = min(sample_ms, MAX_SAMPLE_MS)
        weight = RISE_WEIGHT if sample_ms > self.lag_ms else FALL_WEIGHT
        self.lag_ms += weight * (sample_ms - self.lag_ms)

    def reply_margin_ms(self) -> float:
        """Return how much earlier an answer must be decided on to be sent in time."""
        return min(MAX_REPLY_MARGIN_MS, TURNS_PER_REQUEST * self.lag_ms)

    def load(self) -> float:
        """Return the load that the lag implies; at 1.0 the instance is too slow to use."""
        return self.lag_ms / OVERLOAD_LAG_MS

"""The processor time of control, counted apart from the work for callers."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from radishmount.clock import Clock
from radishmount.counters import Counters


__all__ = ["ControlCpuMeter"]


@dataclass(frozen=True, slots=True)
class ControlCpuMeter:
    """Adds up the processor time of stretches of code that do not wait.

    with cost.measured("peer"):
        take(session, message)
    """

    clock: Clock
    counters: Counters

    @contextmanager
    def measure(self, label: str) -> Iterator[None]:
        """Count the processor time of the block under `label`, in milliseconds."""
        started_ms = self.clock.cpu_ms()
        try:
            yield
        finally:
            self.counters.add("control_cpu_ms", label, self.clock.cpu_ms() - started_ms)

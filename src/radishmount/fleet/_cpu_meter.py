"""Counts the CPU time of the control plane, apart from that of callers' requests."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from radishmount.clock import Clock
from radishmount.counters import Counters


__all__ = ["ControlCpuMeter"]


@dataclass(frozen=True, slots=True)
class ControlCpuMeter:
    """Adds up the CPU time of blocks of code that do not await.

    with cpu_meter.measure("peer"):
        handle(session, message)
    """

    clock: Clock
    counters: Counters

    @contextmanager
    def measure(self, label: str) -> Iterator[None]:
        """Add the CPU time of the block to the counter under `label`, in milliseconds."""
        started_ms = self.clock.cpu_ms()
        try:
            yield
        finally:
            self.counters.add("control_cpu_ms", label, self.clock.cpu_ms() - started_ms)

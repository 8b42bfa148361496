"""The clock of the whole code base, in milliseconds."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, replace


__all__ = ["Clock", "PauseDetector", "loop_clock", "suspend_aware_clock"]

PAUSE_THRESHOLD_MS = 500.0


@dataclass(frozen=True, slots=True)
class Clock:
    """Reads time in milliseconds from the sources that it is given.

    `now_ms` is monotonic and is used for deadlines. `wall_ms` is the time of day and is used in
    records that people read. `cpu_ms` is the CPU time of the calling thread and measures the cost
    of control traffic. `boot_ms` keeps running while the machine is suspended and is used to detect
    pauses. No other module reads the system clock.

        clock = loop_clock(asyncio.get_running_loop())
        deadline_at_ms = clock.now_ms() + 190.0
    """

    now_ms: Callable[[], float]
    wall_ms: Callable[[], float]
    cpu_ms: Callable[[], float] = lambda: 0.0
    boot_ms: Callable[[], float] = lambda: 0.0

    def remaining_ms(self, deadline_at_ms: float) -> float:
        """Return the milliseconds left until `deadline_at_ms`, never less than zero."""
        return max(0.0, deadline_at_ms - self.now_ms())

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task for `duration_ms` milliseconds."""
        await asyncio.sleep(duration_ms / 1000.0)


def loop_clock(loop: asyncio.AbstractEventLoop) -> Clock:
    """Return a clock that reads the time of `loop`, which is virtual for a loop of virtual time."""
    return Clock(
        now_ms=lambda: loop.time() * 1000.0,
        wall_ms=lambda: time.time() * 1000.0,
        cpu_ms=lambda: time.thread_time() * 1000.0,
    )


def suspend_aware_clock(loop: asyncio.AbstractEventLoop) -> Clock:
    """Return a clock for a process, whose `boot_ms` also counts while the machine is suspended."""
    return replace(
        loop_clock(loop),
        boot_ms=lambda: time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0,
    )


@dataclass(slots=True)
class PauseDetector:
    """Detects by late ticks that the process or its machine was suspended.

    `tick` is called at a fixed interval and returns how long the process was suspended, in
    milliseconds, or zero when the tick came in time. The monotonic time of a suspended machine
    stops as well, so the time since boot is compared too.
    """

    interval_ms: float
    last_tick_at_ms: float
    last_boot_ms: float = 0.0
    last_pause_ended_at_ms: float | None = None

    def tick(self, now_ms: float, boot_ms: float = 0.0) -> float:
        """Record a tick and return the length of the pause before it in milliseconds."""
        elapsed_ms = max(now_ms - self.last_tick_at_ms, boot_ms - self.last_boot_ms)
        late_ms = elapsed_ms - self.interval_ms
        self.last_tick_at_ms = now_ms
        self.last_boot_ms = boot_ms
        if late_ms < PAUSE_THRESHOLD_MS:
            return 0.0
        self.last_pause_ended_at_ms = now_ms
        return late_ms

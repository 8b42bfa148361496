"""Detects pauses of the process and refreshes the instance's view after one."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from radishmount.audit import AuditTrail
from radishmount.clock import Clock, PauseDetector
from radishmount.counters import Counters


__all__ = ["REFRESH_TIMEOUT_MS", "Freshness", "make_freshness"]

TICK_INTERVAL_MS = 250.0
REFRESH_TIMEOUT_MS = 1_500.0


@dataclass(slots=True)
class Freshness:
    """Detects pauses by late ticks; after one, new work waits until the view is refreshed.

    The view is what this instance knows of its peers and of the platform or store. `invalidate`
    drops what may be outdated after the pause, without waiting; `refresh` reads it again.
    """

    clock: Clock
    audit: AuditTrail
    counters: Counters
    invalidate: Callable[[], None]
    refresh: Callable[[], Awaitable[None]]
    pause_detector: PauseDetector
    timeout_ms: float = REFRESH_TIMEOUT_MS
    fresh: asyncio.Event = field(default_factory=asyncio.Event)
    refresh_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Tick for as long as the instance runs."""
        while True:
            await self.clock.sleep_ms(TICK_INTERVAL_MS)
            self._tick()

    def check(self) -> bool:
        """Return whether the view is fresh.

        An overdue tick is made up first: after a pause, a request may be handled before the tick.
        """
        detector = self.pause_detector
        since_tick_ms = self.clock.now_ms() - detector.last_tick_at_ms
        since_tick_ms = max(since_tick_ms, self.clock.boot_ms() - detector.last_boot_ms)
        if since_tick_ms > TICK_INTERVAL_MS:
            self._tick()
        return self.fresh.is_set()

    async def wait_until_fresh(self, limit_ms: float | None = None) -> bool:
        """Wait until the view is fresh or its refresh has timed out, for at most `limit_ms`.

        Return whether new work may begin.
        """
        if self.check():
            return True
        limit_ms = self.timeout_ms if limit_ms is None else limit_ms
        try:
            async with asyncio.timeout(limit_ms / 1000.0):
                await self.fresh.wait()
        except TimeoutError:
            pass
        return self.fresh.is_set()

    async def stop(self) -> None:
        """Cancel a refresh that is in progress."""
        if self.refresh_task is not None:
            self.refresh_task.cancel()
            await asyncio.gather(self.refresh_task, return_exceptions=True)

    def _tick(self) -> None:
        pause_ms = self.pause_detector.tick(self.clock.now_ms(), self.clock.boot_ms())
        if pause_ms <= 0.0:
            return
        self.counters.add("pauses")
        self.audit.record("instance", "woke from a pause", cause=f"{pause_ms:.0f} ms late")
        self.fresh.clear()
        self.invalidate()
        if self.refresh_task is not None:
            self.refresh_task.cancel()
        self.refresh_task = asyncio.create_task(self._refresh(), name="refresh view")

    async def _refresh(self) -> None:
        try:
            async with asyncio.timeout(self.timeout_ms / 1000.0):
                await self.refresh()
        except TimeoutError:
            self.counters.add("renewals_cut_short")
        self.fresh.set()


def make_freshness(
    clock: Clock,
    audit: AuditTrail,
    counters: Counters,
    invalidate: Callable[[], None],
    refresh: Callable[[], Awaitable[None]],
    timeout_ms: float = REFRESH_TIMEOUT_MS,
) -> Freshness:
    """Return a `Freshness` whose view is fresh at the start."""
    pause_detector = PauseDetector(TICK_INTERVAL_MS, clock.now_ms(), clock.boot_ms())
    freshness = Freshness(clock, audit, counters, invalidate, refresh, pause_detector, timeout_ms)
    freshness.fresh.set()
    return freshness

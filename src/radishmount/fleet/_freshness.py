"""Whether the view of this instance is younger than its last pause."""

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
    """Finds pauses by late ticks and holds new work until the view was renewed after one.

    `invalidate` drops what was believed before the pause, at once; `refresh` reads it anew.
    """

    clock: Clock
    audit: AuditTrail
    counters: Counters
    invalidate: Callable[[], None]
    refresh: Callable[[], Awaitable[None]]
    pause_watch: PauseDetector
    limit_ms: float = REFRESH_TIMEOUT_MS
    fresh: asyncio.Event = field(default_factory=asyncio.Event)
    renewal: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Tick for as long as the instance runs."""
        while True:
            await self.clock.sleep_ms(TICK_INTERVAL_MS)
            self._tick()

    def check(self) -> bool:
        """Tell whether the view is fresh; a request may come before the late tick does."""
        watch = self.pause_watch
        since_tick_ms = self.clock.now_ms() - watch.last_tick_at_ms
        since_tick_ms = max(since_tick_ms, self.clock.boot_ms() - watch.last_boot_ms)
        if since_tick_ms > TICK_INTERVAL_MS:
            self._tick()
        return self.fresh.is_set()

    async def wait_until_fresh(self, limit_ms: float | None = None) -> bool:
        """Wait until the view is fresh or its renewal was given up, `limit_ms` at most.

        Tell whether it is.
        """
        if self.check():
            return True
        limit_ms = self.limit_ms if limit_ms is None else limit_ms
        try:
            async with asyncio.timeout(limit_ms / 1000.0):
                await self.fresh.wait()
        except TimeoutError:
            pass
        return self.fresh.is_set()

    async def stop(self) -> None:
        """End a renewal that is under way."""
        if self.renewal is not None:
            self.renewal.cancel()
            await asyncio.gather(self.renewal, return_exceptions=True)

    def _tick(self) -> None:
        pause_ms = self.pause_watch.tick(self.clock.now_ms(), self.clock.boot_ms())
        if pause_ms <= 0.0:
            return
        self.counters.add("pauses")
        self.audit.record("instance", "woke from a pause", cause=f"{pause_ms:.0f} ms late")
        self.fresh.clear()
        self.invalidate()
        if self.renewal is not None:
            self.renewal.cancel()
        self.renewal = asyncio.create_task(self._refresh(), name="renew view")

    async def _refresh(self) -> None:
        try:
            async with asyncio.timeout(self.limit_ms / 1000.0):
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
    """Return a watch over pauses that starts with a fresh view."""
    pause_watch = PauseDetector(TICK_INTERVAL_MS, clock.now_ms(), clock.boot_ms())
    freshness = Freshness(clock, audit, counters, invalidate, refresh, pause_watch, timeout_ms)
    freshness.fresh.set()
    return freshness

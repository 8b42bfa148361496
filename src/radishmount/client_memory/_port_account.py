"""What one port holds for all of its clients."""

import asyncio
from dataclasses import dataclass, field

from radishmount.audit import AuditTrail
from radishmount.client_memory._account import Activity, ConnectionAccount
from radishmount.client_memory._eviction import (
    choose_evictions,
    choose_for_new,
    choose_idle,
    choose_stalled,
)
from radishmount.client_memory._limits import CONNECTION_BYTES, Port, PortLimits
from radishmount.clock import Clock
from radishmount.codes import Code
from radishmount.counters import Counters


__all__ = ["PortAccount"]

RELIEVED_SHARE = 0.5  # of what makes it pressed
ROOM_SHARE = 0.9  # of what makes it pressed; the rest is room for bodies that wait
EVICTION_TARGET_SHARE = 0.9  # evictions go on to this share, so that they come in groups
EVICTION_RETRY_MS = 20.0
ROOM_CHECK_MS = 100.0
MAX_WAIT_FOR_ROOM_MS = 1_000.0
MIN_LINE_INTERVAL_MS = 1_000.0


@dataclass(slots=True, eq=False)
class PortAccount:
    """The connections of one port, and the bytes held for them.

    The port is pressed while it holds more than `pressed_bytes` of its limits. The audit trail gets
    a line when that begins and one when it is over, with what was done meanwhile.
    """

    port: Port
    limits: PortLimits
    clock: Clock
    counters: Counters
    audit: AuditTrail
    pressed_bytes: int = field(init=False)
    held_bytes: int = 0
    peak_bytes: int = 0
    open_count: int = 0
    accounts: dict[ConnectionAccount, None] = field(default_factory=dict)
    room: asyncio.Event = field(default_factory=asyncio.Event)
    is_reported: bool = False
    reported_at_ms: float = float("-inf")
    next_eviction_at_ms: float = float("-inf")
    stalls_checked_at_ms: float = float("-inf")
    ended_by_cause: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.pressed_bytes = self.limits.pressed_bytes

    def open(self) -> ConnectionAccount | None:
        """Return the account of a new connection, or None if there is no place for one.

        Where the port has as many connections as it may have, the one that is idle for longest, or
        else stalled for longest, is closed.
        """
        if self.open_count >= self.limits.max_connections:
            oldest = choose_for_new(self.accounts, self.clock.now_ms())
            if oldest is None:
                self.record_refused("rejected")
                return None
            self._end(oldest, "connections")
        account = ConnectionAccount(self, self.clock.now_ms())
        self.accounts[account] = None
        self.open_count += 1
        self.add(CONNECTION_BYTES)
        return account

    def close(self, account: ConnectionAccount) -> None:
        """Forget a connection, and release all that it holds."""
        if account.is_closed:
            return
        account.is_closed = True
        del self.accounts[account]
        if not account.is_closing:
            self.open_count -= 1
        self.subtract(account.held_bytes)

    def add(self, byte_count: int) -> None:
        """Add bytes; beyond the budget, evict connections."""
        self.held_bytes += byte_count
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes
        if self.held_bytes > self.pressed_bytes:
            self._report_pressed()
            if self.is_full():
                self._evict_excess()

    def subtract(self, byte_count: int) -> None:
        """Take off bytes, and wake the connections that wait for room."""
        self.held_bytes -= byte_count
        if self.is_reported and self.held_bytes <= self.pressed_bytes:
            self.room.set()
            if self.held_bytes < RELIEVED_SHARE * self.pressed_bytes:
                self._report_relieved()

    def is_pressed(self) -> bool:
        """Return whether the port holds so much that reading is limited."""
        return self.held_bytes > self.pressed_bytes

    def is_full(self) -> bool:
        """Return whether the port holds its whole budget."""
        return self.held_bytes > self.limits.budget_bytes

    def fair_bytes(self) -> float:
        """Return the part of one connection, of what the port may hold before it is pressed."""
        return self.pressed_bytes / max(1, self.open_count)

    async def wait_for_room(self, account: ConnectionAccount) -> bool:
        """Wait until more may be read for a connection; return whether that is so in time.

        Meanwhile connections that have stalled are evicted. The wait is no lack of progress.
        """
        give_up_at_ms = self.clock.now_ms() + MAX_WAIT_FOR_ROOM_MS
        while account.must_wait():
            now_ms = self.clock.now_ms()
            if now_ms >= give_up_at_ms:
                self.record_refused("no room")
                return False
            account.progressed_at_ms = now_ms
            self._evict_stalled(now_ms)
            self.room.clear()
            try:
                async with asyncio.timeout(ROOM_CHECK_MS / 1000.0):
                    await self.room.wait()
            except TimeoutError:
                continue
        account.record_progress()
        return True

    def held_by_activity(self) -> dict[Activity, int]:
        """Return what is held by connections of each activity."""
        held_bytes = dict.fromkeys(Activity, 0)
        for account in self.accounts:
            if not account.is_closing:
                held_bytes[account.activity()] += account.held_bytes
        return held_bytes

    def record_refused(self, cause: str) -> None:
        """Count a request or a connection that was refused or closed, by cause."""
        self.counters.add("client_connections_ended", f"{self.port.value} {cause}")
        self.ended_by_cause[cause] = self.ended_by_cause.get(cause, 0) + 1

    def _evict_excess(self) -> None:
        """Evict connections down to a share of the budget.

        Where nothing can go, as all requests are handled, the next try waits for a moment.
        """
        now_ms = self.clock.now_ms()
        if now_ms < self.next_eviction_at_ms:
            return
        excess_bytes = int(self.held_bytes - EVICTION_TARGET_SHARE * self.limits.budget_bytes)
        chosen = choose_evictions(self.accounts, excess_bytes, now_ms)
        for account in chosen:
            self._end(account, "budget")
        if not chosen:
            self.next_eviction_at_ms = now_ms + EVICTION_RETRY_MS

    def _evict_stalled(self, now_ms: float) -> None:
        """Evict those that hold more than their fair part, so that others get room.

        Where that frees too little, connections are closed that are idle.
        """
        if now_ms - self.stalls_checked_at_ms < ROOM_CHECK_MS:
            return
        self.stalls_checked_at_ms = now_ms
        for account in choose_stalled(self.accounts, self.fair_bytes(), now_ms):
            self._end(account, "stalled")
        excess_bytes = self.held_bytes - ROOM_SHARE * self.pressed_bytes
        for account in choose_idle(self.accounts, excess_bytes, now_ms):
            self._end(account, "idle")

    def _end(self, account: ConnectionAccount, cause: str) -> None:
        """Evict a connection, whose bytes count until its handler has ended."""
        activity = account.activity()
        self.record_refused(f"{cause} {activity.value}")
        account.is_closing = True
        self.open_count -= 1
        account.evict(Code.TOO_MUCH_HELD)

    def _report_pressed(self) -> None:
        now_ms = self.clock.now_ms()
        if self.is_reported or now_ms - self.reported_at_ms < MIN_LINE_INTERVAL_MS:
            return
        self.is_reported, self.reported_at_ms = True, now_ms
        held = ", ".join(
            f"{activity.value} {held_bytes}"
            for activity, held_bytes in self.held_by_activity().items()
            if held_bytes
        )
        cause = (
            f"{self.held_bytes} of {self.limits.budget_bytes} bytes held for "
            f"{self.open_count} connections: {held}"
        )
        self.audit.record(f"client memory/{self.port.value}", "pressed", cause=cause)

    def _report_relieved(self) -> None:
        self.is_reported = False
        ended = ", ".join(f"{cause} {n}" for cause, n in sorted(self.ended_by_cause.items()))
        cause = f"peak {self.peak_bytes} bytes; ended: {ended or 'none'}"
        self.audit.record(f"client memory/{self.port.value}", "relieved", cause=cause)
        self.ended_by_cause.clear()
        self.peak_bytes = self.held_bytes

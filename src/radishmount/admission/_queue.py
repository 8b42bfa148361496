"""The queue before one target: who runs next, and who is refused in time."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from radishmount.admission._concurrency_limit import ConcurrencyLimit
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.publication import Preference, Rule


__all__ = ["QueuedPerSlotOf", "AdmissionQueue", "Permit", "Waiter"]

QueuedPerSlotOf = Callable[[str], float]

MAX_WAITING = 64
STANDING_QUEUE_MS = 20.0
MIN_TAIL_WAIT_MS = 5.0
TAIL_WAIT_SHARE = 0.75


@dataclass(slots=True, eq=False)
class Waiter:
    """One request that waits for its turn. Past `latest_start_ms` it could not be in time."""

    caller: str
    priority: int
    arrived_at_ms: float
    latest_start_ms: float
    answered: asyncio.Future[Refusal | None]


@dataclass(slots=True, eq=False)
class Permit:
    """The right to run one request now.

    `release` is called exactly once, with `answered` false when there was no answer: how long
    that took tells nothing of the load.
    """

    queue: "AdmissionQueue"
    caller: str
    granted_at_ms: float

    def release(self, *, answered: bool) -> None:
        """Give the place back."""
        self.queue.release(self, answered=answered)


@dataclass(slots=True)
class AdmissionQueue:
    """The requests to one target that run and that wait.

    A lower priority number goes first. Within a class the caller with the fewest requests running
    goes first, then the oldest request; once the queue stands, the newest, as the old ones are
    the least likely to be in time. Every request gets a permit or a refusal.
    """

    target: str
    clock: Clock
    limit: ConcurrencyLimit
    queued_per_slot_of: QueuedPerSlotOf
    running: int = 0
    running_by_caller: Counter[str] = field(default_factory=Counter)
    waiting: list[Waiter] = field(default_factory=list)

    async def acquire(
        self, caller: str, rule: Rule, deadline_at_ms: float
    ) -> Result[Permit, Refusal]:
        """Return a permit, at once or after a wait, or refuse as not run."""
        now_ms = self.clock.now_ms()
        if not self.waiting and self.limit.allows(self.running):
            if self._is_late(now_ms, deadline_at_ms):
                return Err(Refusal(Code.CANNOT_MEET_DEADLINE, detail=self.target))
            return Ok(self._grant(caller, now_ms))
        waiter = Waiter(
            caller,
            rule.priority,
            now_ms,
            self._latest_start_ms(rule, now_ms, deadline_at_ms),
            asyncio.get_running_loop().create_future(),
        )
        if now_ms + self._expected_wait_ms(rule.priority) > waiter.latest_start_ms:
            return Err(Refusal(Code.CANNOT_MEET_DEADLINE, detail=self.target))
        if len(self.waiting) >= MAX_WAITING and not self._make_room(waiter):
            return Err(Refusal(Code.OVERLOADED, detail=self.target))
        self.waiting.append(waiter)
        return await self._turn(waiter)

    def release(self, permit: Permit, *, answered: bool) -> None:
        """Take a place back and give it to the next in turn."""
        now_ms = self.clock.now_ms()
        if answered:
            latency_ms = now_ms - permit.granted_at_ms
            self.limit.record_latency(
                latency_ms, self.running, self.queued_per_slot_of(self.target), now_ms
            )
        self._vacate(permit.caller)
        self.call_next()

    def call_next(self) -> None:
        """Give free places to those whose turn it is."""
        now_ms = self.clock.now_ms()
        while self.waiting and self.limit.allows(self.running):
            waiter = self._next(now_ms)
            self.waiting.remove(waiter)
            if waiter.answered.done():
                continue
            if now_ms > waiter.latest_start_ms:
                waiter.answered.set_result(Refusal(Code.CANNOT_MEET_DEADLINE, detail=self.target))
                continue
            self._occupy(waiter.caller)
            waiter.answered.set_result(None)

    async def _turn(self, waiter: Waiter) -> Result[Permit, Refusal]:
        """Wait until `waiter` is called, refused, or too late."""
        wait_ms = self.clock.remaining_ms(waiter.latest_start_ms)
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                refusal = await asyncio.shield(waiter.answered)
        except TimeoutError:
            self._remove(waiter)
            return Err(Refusal(Code.CANNOT_MEET_DEADLINE, detail=self.target))
        except asyncio.CancelledError:
            self._remove(waiter)
            raise
        if refusal is not None:
            return Err(refusal)
        return Ok(Permit(self, waiter.caller, self.clock.now_ms()))

    def _remove(self, waiter: Waiter) -> None:
        """Take a waiter out that gave up; a place that it had got already goes to the next."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
            return
        if waiter.answered.done() and waiter.answered.result() is None:
            self._vacate(waiter.caller)
            self.call_next()

    def _next(self, now_ms: float) -> Waiter:
        oldest_ms = min(waiter.arrived_at_ms for waiter in self.waiting)
        sign = -1.0 if now_ms - oldest_ms > STANDING_QUEUE_MS else 1.0
        return min(
            self.waiting,
            key=lambda waiter: (
                waiter.priority,
                self.running_by_caller[waiter.caller],
                sign * waiter.arrived_at_ms,
            ),
        )

    def _make_room(self, newcomer: Waiter) -> bool:
        """Refuse the oldest of the lowest class for a newcomer of no lower class."""
        worst = max(self.waiting, key=lambda waiter: (waiter.priority, -waiter.arrived_at_ms))
        if worst.priority < newcomer.priority:
            return False
        self.waiting.remove(worst)
        if not worst.answered.done():
            worst.answered.set_result(Refusal(Code.OVERLOADED, detail=self.target))
        return True

    def _expected_wait_ms(self, priority: int) -> float:
        """Return how long a newcomer waits for those that go before it.

        In a standing queue the newest goes first, so that only better classes are before it.
        """
        ahead = sum(waiter.priority < priority for waiter in self.waiting)
        return self.limit.smoothed_ms * ahead / max(1, int(self.limit.limit))

    def _latest_start_ms(self, rule: Rule, now_ms: float, deadline_at_ms: float) -> float:
        latest_ms = deadline_at_ms - self.limit.base_ms
        if rule.prefer is Preference.COVERAGE:
            return latest_ms
        return min(latest_ms, now_ms + max(MIN_TAIL_WAIT_MS, TAIL_WAIT_SHARE * self.limit.base_ms))

    def _is_late(self, now_ms: float, deadline_at_ms: float) -> bool:
        return now_ms + self.limit.base_ms > deadline_at_ms

    def _grant(self, caller: str, now_ms: float) -> Permit:
        self._occupy(caller)
        return Permit(self, caller, now_ms)

    def _occupy(self, caller: str) -> None:
        self.running += 1
        self.running_by_caller[caller] += 1

    def _vacate(self, caller: str) -> None:
        self.running -= 1
        self.running_by_caller[caller] -= 1
        if not self.running_by_caller[caller]:
            del self.running_by_caller[caller]

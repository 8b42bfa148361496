"""The admission queue of one target: which request runs next, and which is refused early."""

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

MAX_QUEUE_LENGTH = 64
STANDING_QUEUE_MS = 20.0
MIN_TAIL_WAIT_MS = 5.0
TAIL_WAIT_RATIO = 0.75


@dataclass(slots=True, eq=False)
class Waiter:
    """One queued request, which is refused if it has no permit by `latest_start_ms`.

    After that time it could not meet its deadline, or has waited too long for a rule that prefers
    the tail.

    `decision` is set to none when the request may run, else to the refusal.
    """

    caller: str
    priority: int
    arrived_at_ms: float
    latest_start_ms: float
    decision: asyncio.Future[Refusal | None]


@dataclass(slots=True, eq=False)
class Permit:
    """The right to run one request now.

    `release` must be called exactly once. `answered` is false when there was no answer, as the
    duration of such a request says nothing about the load.
    """

    queue: "AdmissionQueue"
    caller: str
    granted_at_ms: float

    def release(self, *, answered: bool) -> None:
        """Return the permit."""
        self.queue.release(self, answered=answered)


@dataclass(slots=True)
class AdmissionQueue:
    """The running and the queued requests to one target.

    Requests with a lower priority number run first. Within one priority, the caller with the
    fewest running requests comes first, then the oldest request. When the oldest request has
    waited for longer than `STANDING_QUEUE_MS`, the newest comes first instead (adaptive LIFO), as
    old requests are the least likely to meet their deadline. Every request gets a permit or a
    refusal.
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
        """Return a permit, immediately or after a wait, or refuse the request as not run."""
        now_ms = self.clock.now_ms()
        if not self.waiting and self.limit.allows(self.running):
            if self._would_miss_deadline(now_ms, deadline_at_ms):
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
        if len(self.waiting) >= MAX_QUEUE_LENGTH and not self._try_evict_for(waiter):
            return Err(Refusal(Code.OVERLOADED, detail=self.target))
        self.waiting.append(waiter)
        return await self._wait_for_permit(waiter)

    def release(self, permit: Permit, *, answered: bool) -> None:
        """Take back a permit and grant one to the next queued request."""
        now_ms = self.clock.now_ms()
        if answered:
            latency_ms = now_ms - permit.granted_at_ms
            self.limit.record_latency(
                latency_ms, self.running, self.queued_per_slot_of(self.target), now_ms
            )
        self._count_end(permit.caller)
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant permits to queued requests as far as the limit allows."""
        now_ms = self.clock.now_ms()
        while self.waiting and self.limit.allows(self.running):
            waiter = self._next_waiter(now_ms)
            self.waiting.remove(waiter)
            if waiter.decision.done():
                continue
            if now_ms > waiter.latest_start_ms:
                waiter.decision.set_result(Refusal(Code.CANNOT_MEET_DEADLINE, detail=self.target))
                continue
            self._count_start(waiter.caller)
            waiter.decision.set_result(None)

    async def _wait_for_permit(self, waiter: Waiter) -> Result[Permit, Refusal]:
        """Wait until `waiter` gets a permit, is refused, or its latest start has passed."""
        wait_ms = self.clock.remaining_ms(waiter.latest_start_ms)
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                refusal = await asyncio.shield(waiter.decision)
        except TimeoutError:
            self._remove_waiter(waiter)
            return Err(Refusal(Code.CANNOT_MEET_DEADLINE, detail=self.target))
        except asyncio.CancelledError:
            self._remove_waiter(waiter)
            raise
        if refusal is not None:
            return Err(refusal)
        return Ok(Permit(self, waiter.caller, self.clock.now_ms()))

    def _remove_waiter(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up; a permit granted to it meanwhile passes to the next."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
            return
        if waiter.decision.done() and waiter.decision.result() is None:
            self._count_end(waiter.caller)
            self.grant_waiting()

    def _next_waiter(self, now_ms: float) -> Waiter:
        oldest_ms = min(waiter.arrived_at_ms for waiter in self.waiting)
        order_sign = -1.0 if now_ms - oldest_ms > STANDING_QUEUE_MS else 1.0
        return min(
            self.waiting,
            key=lambda waiter: (
                waiter.priority,
                self.running_by_caller[waiter.caller],
                order_sign * waiter.arrived_at_ms,
            ),
        )

    def _try_evict_for(self, newcomer: Waiter) -> bool:
        """Refuse the oldest request of the lowest priority to make room for `newcomer`.

        Return false, and refuse none, if the priority of `newcomer` is lower still.
        """
        victim = max(self.waiting, key=lambda waiter: (waiter.priority, -waiter.arrived_at_ms))
        if victim.priority < newcomer.priority:
            return False
        self.waiting.remove(victim)
        if not victim.decision.done():
            victim.decision.set_result(Refusal(Code.OVERLOADED, detail=self.target))
        return True

    def _expected_wait_ms(self, priority: int) -> float:
        """Return how long a new request waits for the queued requests ahead of it.

        In a standing queue the newest request comes first, so only requests of a higher priority
        are ahead of it.
        """
        ahead = sum(waiter.priority < priority for waiter in self.waiting)
        return self.limit.smoothed_latency_ms * ahead / max(1, int(self.limit.limit))

    def _latest_start_ms(self, rule: Rule, now_ms: float, deadline_at_ms: float) -> float:
        """Return until when a request may wait: only shortly if its rule prefers the tail."""
        latest_ms = deadline_at_ms - self.limit.min_latency_ms
        if rule.prefer is Preference.COVERAGE:
            return latest_ms
        return min(
            latest_ms, now_ms + max(MIN_TAIL_WAIT_MS, TAIL_WAIT_RATIO * self.limit.min_latency_ms)
        )

    def _would_miss_deadline(self, now_ms: float, deadline_at_ms: float) -> bool:
        return now_ms + self.limit.min_latency_ms > deadline_at_ms

    def _grant(self, caller: str, now_ms: float) -> Permit:
        self._count_start(caller)
        return Permit(self, caller, now_ms)

    def _count_start(self, caller: str) -> None:
        self.running += 1
        self.running_by_caller[caller] += 1

    def _count_end(self, caller: str) -> None:
        self.running -= 1
        self.running_by_caller[caller] -= 1
        if not self.running_by_caller[caller]:
            del self.running_by_caller[caller]

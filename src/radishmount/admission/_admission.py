"""The root of the aggregate: decides which requests run on this instance, and when."""

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Result

from radishmount.admission._concurrency_limit import ConcurrencyLimit
from radishmount.admission._queue import AdmissionQueue, Permit, QueuedPerSlotOf
from radishmount.admission._quota import Quotas
from radishmount.clock import Clock
from radishmount.codes import Refusal
from radishmount.counters import Counters
from radishmount.publication import Rule


__all__ = ["Admission", "SlotShareOf"]

SLOT_SHARE_INTERVAL_MS = 1_000.0

SlotShareOf = Callable[[str], float]


@dataclass(slots=True)
class Admission:
    """The quotas, and one queue for each collection or service.

    `slot_share_of` returns this instance's share of the slots behind a target;
    `queued_per_slot_of` returns how many requests are queued there per slot.

        admitted = await admission.admit("workshop", rule, deadline_at_ms)
    """

    clock: Clock
    counters: Counters
    slot_share_of: SlotShareOf
    queued_per_slot_of: QueuedPerSlotOf
    quotas: Quotas = field(default_factory=Quotas)
    queues_by_target: dict[str, AdmissionQueue] = field(default_factory=dict)
    shares_updated_at_ms: float = 0.0

    def set_instance_count(self, count: int) -> None:
        """Divide the quotas among `count` listed instances."""
        self.quotas.instance_count = count

    async def admit(
        self, caller: str, rule: Rule, deadline_at_ms: float
    ) -> Result[Permit, Refusal]:
        """Return a permit to run one request now, perhaps after a wait, or refuse it as not run."""
        now_ms = self.clock.now_ms()
        self._update_slot_shares(now_ms)
        quota_result = self.quotas.consume(caller, rule, now_ms)
        if isinstance(quota_result, Err):
            return self._record_refusal(quota_result.err_value)
        permit_result = await self._queue_for(rule.target).acquire(caller, rule, deadline_at_ms)
        if isinstance(permit_result, Err):
            return self._record_refusal(permit_result.err_value)
        return permit_result

    @property
    def running(self) -> int:
        """Return how many requests hold a permit."""
        return sum(queue.running for queue in self.queues_by_target.values())

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait for a permit."""
        return sum(len(queue.waiting) for queue in self.queues_by_target.values())

    def _record_refusal(self, refusal: Refusal) -> Err[Refusal]:
        self.counters.add("refused", refusal.code.name)
        return Err(refusal)

    def _queue_for(self, target: str) -> AdmissionQueue:
        queue = self.queues_by_target.get(target)
        if queue is None:
            queue = AdmissionQueue(
                target,
                self.clock,
                ConcurrencyLimit(self.slot_share_of(target)),
                self.queued_per_slot_of,
            )
            self.queues_by_target[target] = queue
        return queue

    def _update_slot_shares(self, now_ms: float) -> None:
        """Update the slot shares at intervals, as endpoints and instances join and leave."""
        if now_ms - self.shares_updated_at_ms < SLOT_SHARE_INTERVAL_MS:
            return
        self.shares_updated_at_ms = now_ms
        for queue in self.queues_by_target.values():
            queue.limit.share = self.slot_share_of(queue.target)
            queue.limit.limit = max(queue.limit.limit, queue.limit.floor)

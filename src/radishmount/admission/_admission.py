"""The root of the aggregate: who may ask this instance for what, and when."""

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

SHARE_INTERVAL_MS = 1_000.0

SlotShareOf = Callable[[str], float]


@dataclass(slots=True)
class Admission:
    """The quotas, and one lane for each collection or service.

    `slot_share_of` returns this instance's share of the slots behind a target, `queued_per_slot_of`
    how many requests wait there for each slot.

        admitted = await admission.admit("workshop", rule, deadline_at_ms)
    """

    clock: Clock
    counters: Counters
    slot_share_of: SlotShareOf
    queued_per_slot_of: QueuedPerSlotOf
    quotas: Quotas = field(default_factory=Quotas)
    queues_by_target: dict[str, AdmissionQueue] = field(default_factory=dict)
    shared_at_ms: float = 0.0

    def set_instance_count(self, count: int) -> None:
        """Divide the quotas over `count` listed instances."""
        self.quotas.instances = count

    async def admit(
        self, caller: str, rule: Rule, deadline_at_ms: float
    ) -> Result[Permit, Refusal]:
        """Return a permit to run one request now, or refuse it as not run."""
        now_ms = self.clock.now_ms()
        self._renew_shares(now_ms)
        within = self.quotas.take(caller, rule, now_ms)
        if isinstance(within, Err):
            return self._refused(within.err_value)
        entered = await self._lane_of(rule.target).acquire(caller, rule, deadline_at_ms)
        if isinstance(entered, Err):
            return self._refused(entered.err_value)
        return entered

    @property
    def running(self) -> int:
        """Return how many requests hold a permit."""
        return sum(lane.running for lane in self.queues_by_target.values())

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a permit."""
        return sum(len(lane.waiting) for lane in self.queues_by_target.values())

    def _refused(self, refusal: Refusal) -> Err[Refusal]:
        self.counters.add("refused", refusal.code.name)
        return Err(refusal)

    def _lane_of(self, target: str) -> AdmissionQueue:
        lane = self.queues_by_target.get(target)
        if lane is None:
            lane = AdmissionQueue(
                target,
                self.clock,
                ConcurrencyLimit(self.slot_share_of(target)),
                self.queued_per_slot_of,
            )
            self.queues_by_target[target] = lane
        return lane

    def _renew_shares(self, now_ms: float) -> None:
        """Follow endpoints and instances that come and go."""
        if now_ms - self.shared_at_ms < SHARE_INTERVAL_MS:
            return
        self.shared_at_ms = now_ms
        for lane in self.queues_by_target.values():
            lane.limit.share = self.slot_share_of(lane.target)
            lane.limit.limit = max(lane.limit.limit, lane.limit.floor)

"""The recorded outcomes of orders, limited in number, size and age."""

import asyncio
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.codes import Code, RunStatus
from radishmount.orders._order import OrderOutcome


__all__ = ["OutcomeRecord", "OutcomeRecords"]

MAX_RESULT_CHARS = 64_000
OVERDUE_GRACE_MS = 3_000.0

OnEvict = Callable[["OutcomeRecord"], None]


@dataclass(slots=True, eq=False)
class OutcomeRecord:
    """The record of one order. `outcome` is none while the order is in flight.

    `id` is the number of a ticket or the id of a key. `fingerprint` tells a repeat of the order
    from a different order under the same id.
    """

    id: Hashable
    fingerprint: str
    order_deadline_at_ms: float
    expires_at_ms: float
    outcome: OrderOutcome | None = None
    result_chars: int = 0
    settled: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class OutcomeRecords:
    """The records by id, oldest first.

    `on_evict` is called with each record that is removed before it expires, to make room.
    """

    clock: Clock
    on_evict: OnEvict
    max_records: int
    max_total_result_chars: int
    by_id: dict[Hashable, OutcomeRecord] = field(default_factory=dict)
    total_result_chars: int = 0

    def find(self, record_id: Hashable) -> OutcomeRecord | None:
        """Return the record of `record_id`, or none if there is none or it has expired."""
        self._expire()
        return self.by_id.get(record_id)

    def create(
        self,
        record_id: Hashable,
        fingerprint: str,
        order_deadline_at_ms: float,
        expires_at_ms: float,
    ) -> OutcomeRecord | None:
        """Return a new record, or none when all records belong to orders in flight."""
        self._expire()
        if len(self.by_id) >= self.max_records and not self._evict_oldest():
            return None
        record = OutcomeRecord(record_id, fingerprint, order_deadline_at_ms, expires_at_ms)
        self.by_id[record_id] = record
        return record

    def settle(self, record: OutcomeRecord, outcome: OrderOutcome) -> None:
        """Record the outcome of the order. Only an unknown outcome is ever replaced."""
        if record.outcome is not None and record.outcome.ran is not RunStatus.UNKNOWN:
            return
        chars = len(repr(outcome.result)) if outcome.result is not None else 0
        if chars > MAX_RESULT_CHARS:
            outcome = OrderOutcome(outcome.ran, detail="the result was too large to record")
            chars = 0
        record.outcome = outcome
        record.settled.set()
        if self.by_id.get(record.id) is not record:
            return
        self.total_result_chars += chars - record.result_chars
        record.result_chars = chars
        while self.total_result_chars > self.max_total_result_chars and self._evict_oldest():
            pass

    def discard(self, record: OutcomeRecord, outcome: OrderOutcome) -> None:
        """Remove the record, and give `outcome` to the requests that wait for it."""
        record.outcome = outcome
        record.settled.set()
        self._remove(record)

    async def wait(self, record: OutcomeRecord, until_ms: float) -> OrderOutcome | None:
        """Wait for the outcome until `until_ms`; return none if there still is none."""
        wait_ms = self.clock.remaining_ms(until_ms)
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                await record.settled.wait()
        except TimeoutError:
            self._settle_overdue(record)
        return record.outcome

    def _expire(self) -> None:
        now_ms = self.clock.now_ms()
        for record in list(self.by_id.values()):
            self._settle_overdue(record)
            if record.outcome is not None and now_ms >= record.expires_at_ms:
                self._remove(record)

    def _settle_overdue(self, record: OutcomeRecord) -> None:
        """Settle an overdue order as unknown: its task and connection ended without an outcome."""
        overdue_at_ms = record.order_deadline_at_ms + OVERDUE_GRACE_MS
        if record.outcome is None and self.clock.now_ms() >= overdue_at_ms:
            self.settle(
                record, OrderOutcome(RunStatus.UNKNOWN, Code.OUTCOME_UNKNOWN, detail="overdue")
            )

    def _evict_oldest(self) -> bool:
        for record in self.by_id.values():
            if record.outcome is None:
                continue
            self._remove(record)
            self.on_evict(record)
            return True
        return False

    def _remove(self, record: OutcomeRecord) -> None:
        if self.by_id.get(record.id) is record:
            del self.by_id[record.id]
            self.total_result_chars -= record.result_chars

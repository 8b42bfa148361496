"""The recorded outcomes of orders, bounded in number, size and time."""

import asyncio
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.codes import Code, RunStatus
from radishmount.orders._order import OrderOutcome


__all__ = ["OutcomeRecord", "OutcomeRecords"]

MAX_RESULT_CHARS = 64_000
OVERDUE_MS = 3_000.0

OnDrop = Callable[["OutcomeRecord"], None]


@dataclass(slots=True, eq=False)
class OutcomeRecord:
    """One order that was begun. `outcome` is none while it is in flight.

    `fingerprint` tells a repeat of the order from another order under the same id.
    """

    id: Hashable
    fingerprint: str
    order_deadline_at_ms: float
    keep_until_ms: float
    outcome: OrderOutcome | None = None
    kept_chars: int = 0
    settled: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class OutcomeRecords:
    """The records by id, oldest first. `on_drop` is told of each that goes before its time."""

    clock: Clock
    on_drop: OnDrop
    max_records: int
    max_kept_chars: int
    by_id: dict[Hashable, OutcomeRecord] = field(default_factory=dict)
    kept_chars: int = 0

    def find(self, record_id: Hashable) -> OutcomeRecord | None:
        """Return the record of `record_id`, none when there is none any more."""
        self._expire()
        return self.by_id.get(record_id)

    def open(
        self,
        record_id: Hashable,
        fingerprint: str,
        order_deadline_at_ms: float,
        keep_until_ms: float,
    ) -> OutcomeRecord | None:
        """Begin a record, or none when every record is of an order in flight."""
        self._expire()
        if len(self.by_id) >= self.max_records and not self._drop_oldest():
            return None
        record = OutcomeRecord(record_id, fingerprint, order_deadline_at_ms, keep_until_ms)
        self.by_id[record_id] = record
        return record

    def settle(self, record: OutcomeRecord, outcome: OrderOutcome) -> None:
        """Record what became of the order. Only an unknown outcome is ever replaced."""
        if record.outcome is not None and record.outcome.ran is not RunStatus.UNKNOWN:
            return
        chars = len(repr(outcome.result)) if outcome.result is not None else 0
        if chars > MAX_RESULT_CHARS:
            outcome = OrderOutcome(outcome.ran, detail="the result was too large to be kept")
            chars = 0
        record.outcome = outcome
        record.settled.set()
        if self.by_id.get(record.id) is not record:
            return
        self.kept_chars += chars - record.kept_chars
        record.kept_chars = chars
        while self.kept_chars > self.max_kept_chars and self._drop_oldest():
            pass

    def discard(self, record: OutcomeRecord, outcome: OrderOutcome) -> None:
        """Tell those who wait for the record of `outcome`, and keep nothing of it."""
        record.outcome = outcome
        record.settled.set()
        self._remove(record)

    async def wait(self, record: OutcomeRecord, until_ms: float) -> OrderOutcome | None:
        """Return the outcome once it is there, or none when it is not there by `until_ms`."""
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
            if record.outcome is not None and now_ms >= record.keep_until_ms:
                self._remove(record)

    def _settle_overdue(self, record: OutcomeRecord) -> None:
        """Give up on an order whose task and connection are both gone."""
        overdue_at_ms = record.order_deadline_at_ms + OVERDUE_MS
        if record.outcome is None and self.clock.now_ms() >= overdue_at_ms:
            self.settle(
                record, OrderOutcome(RunStatus.UNKNOWN, Code.OUTCOME_UNKNOWN, detail="overdue")
            )

    def _drop_oldest(self) -> bool:
        for record in self.by_id.values():
            if record.outcome is None:
                continue
            self._remove(record)
            self.on_drop(record)
            return True
        return False

    def _remove(self, record: OutcomeRecord) -> None:
        if self.by_id.get(record.id) is record:
            del self.by_id[record.id]
            self.kept_chars -= record.kept_chars

"""An order from admission to its outcome, recorded or not."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Result

from radishmount.admission import Permit
from radishmount.codes import Refusal, RunStatus
from radishmount.orders._context import OrderContext
from radishmount.orders._messages import OrderQuestion
from radishmount.orders._order import Order, OrderCall, OrderOutcome, refused
from radishmount.orders._records import OutcomeRecord, OutcomeRecords
from radishmount.orders._run import OrderRun
from radishmount.publication import Rule


__all__ = ["Admit", "FindRule", "OrderRunner"]

FindRule = Callable[[OrderCall], Result[Rule, Refusal]]
Admit = Callable[[OrderCall, Rule, float], Awaitable[Result[Permit, Refusal]]]


@dataclass(slots=True)
class OrderRunner:
    """Runs orders in the tasks of those who ask, and counts those in flight."""

    tools: OrderContext
    bind: FindRule
    admit: Admit
    in_flight: int = 0
    idle: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self, question: OrderQuestion) -> OrderOutcome:
        """Run an order of which nothing is kept."""
        deadline_at_ms = self.tools.clock.now_ms() + question.remaining_ms
        return await self._run(question, deadline_at_ms, None)

    async def run_recorded(
        self, question: OrderQuestion, records: OutcomeRecords, record: OutcomeRecord
    ) -> OrderOutcome:
        """Run an order and settle its record, also when its task is cancelled.

        An endpoint that has the order by then still settles it by its answer.
        """
        late: list[OrderRun] = []

        def keep(run: OrderRun) -> None:
            run.settle_late = lambda outcome: records.settle(record, outcome)
            late.append(run)

        try:
            outcome = await self._run(question, record.order_deadline_at_ms, keep)
        except asyncio.CancelledError:
            known = late[0].cut_off() if late else OrderRun.NOT_BEGUN
            if known is not None:
                records.settle(record, known)
            raise
        records.settle(record, outcome)
        return outcome

    async def drain(self) -> None:
        """Return when no order is in flight."""
        while self.in_flight:
            self.idle.clear()
            await self.idle.wait()

    async def _run(
        self,
        question: OrderQuestion,
        latest_ms: float,
        keep: Callable[[OrderRun], None] | None,
    ) -> OrderOutcome:
        self.in_flight += 1
        try:
            return await self._admitted(question, latest_ms, keep)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    async def _admitted(
        self,
        question: OrderQuestion,
        latest_ms: float,
        keep: Callable[[OrderRun], None] | None,
    ) -> OrderOutcome:
        call = question.call
        bound = self.bind(call)
        if isinstance(bound, Err):
            return refused(bound.err_value)
        rule = bound.ok_value
        now_ms = self.tools.clock.now_ms()
        deadline_at_ms = min(latest_ms, now_ms + rule.deadline_ms)
        admitted = await self.admit(call, rule, deadline_at_ms)
        if isinstance(admitted, Err):
            return refused(admitted.err_value)
        order = Order(question.request_id, call.caller, call.service, call.body, deadline_at_ms)
        run = OrderRun(order, self.tools)
        if keep is not None:
            keep(run)
        answered = False
        try:
            outcome = await run.run()
            answered = outcome.ran is RunStatus.RAN
            return outcome
        finally:
            admitted.ok_value.release(answered=answered)

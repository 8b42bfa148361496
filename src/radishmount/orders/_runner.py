"""Finds the rule of an order, admits it and runs it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Result

from radishmount.admission import Permit
from radishmount.codes import Refusal, RunStatus
from radishmount.orders._context import OrderContext
from radishmount.orders._messages import OrderQuestion
from radishmount.orders._order import Order, OrderCall, OrderOutcome, refused_outcome
from radishmount.orders._records import OutcomeRecord, OutcomeRecords
from radishmount.orders._run import OrderRun
from radishmount.publication import Rule


__all__ = ["Admit", "FindRule", "OrderRunner"]

FindRule = Callable[[OrderCall], Result[Rule, Refusal]]
Admit = Callable[[OrderCall, Rule, float], Awaitable[Result[Permit, Refusal]]]


@dataclass(slots=True)
class OrderRunner:
    """Runs orders, each in the task of its request, and counts those in flight."""

    context: OrderContext
    find_rule: FindRule
    admit: Admit
    in_flight: int = 0
    idle: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self, question: OrderQuestion) -> OrderOutcome:
        """Run an order whose outcome is not recorded."""
        deadline_at_ms = self.context.clock.now_ms() + question.remaining_ms
        return await self._run_counted(question, deadline_at_ms, None)

    async def run_recorded(
        self, question: OrderQuestion, records: OutcomeRecords, record: OutcomeRecord
    ) -> OrderOutcome:
        """Run an order and settle its record.

        When the task is cancelled while an endpoint may have the order, the endpoint's reply
        settles the record later.
        """
        runs: list[OrderRun] = []

        def settle_from_late_reply(run: OrderRun) -> None:
            run.on_late_outcome = lambda outcome: records.settle(record, outcome)
            runs.append(run)

        try:
            outcome = await self._run_counted(
                question, record.order_deadline_at_ms, settle_from_late_reply
            )
        except asyncio.CancelledError:
            certain_outcome = runs[0].abort() if runs else OrderRun.CANCELLED_BEFORE_SENDING
            if certain_outcome is not None:
                records.settle(record, certain_outcome)
            raise
        records.settle(record, outcome)
        return outcome

    async def drain(self) -> None:
        """Wait until no order is in flight."""
        while self.in_flight:
            self.idle.clear()
            await self.idle.wait()

    async def _run_counted(
        self,
        question: OrderQuestion,
        latest_deadline_at_ms: float,
        on_run: Callable[[OrderRun], None] | None,
    ) -> OrderOutcome:
        self.in_flight += 1
        try:
            return await self._admit_and_run(question, latest_deadline_at_ms, on_run)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    async def _admit_and_run(
        self,
        question: OrderQuestion,
        latest_deadline_at_ms: float,
        on_run: Callable[[OrderRun], None] | None,
    ) -> OrderOutcome:
        call = question.call
        found = self.find_rule(call)
        if isinstance(found, Err):
            return refused_outcome(found.err_value)
        rule = found.ok_value
        now_ms = self.context.clock.now_ms()
        deadline_at_ms = min(latest_deadline_at_ms, now_ms + rule.deadline_ms)
        admitted = await self.admit(call, rule, deadline_at_ms)
        if isinstance(admitted, Err):
            return refused_outcome(admitted.err_value)
        order = Order(question.request_id, call.caller, call.service, call.body, deadline_at_ms)
        run = OrderRun(order, self.context)
        if on_run is not None:
            on_run(run)
        answered = False
        try:
            outcome = await run.run()
            answered = outcome.ran is RunStatus.RAN
            return outcome
        finally:
            admitted.ok_value.release(answered=answered)

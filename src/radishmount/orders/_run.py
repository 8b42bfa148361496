"""Runs an order at an endpoint, and retries at another one only if it certainly did not run."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ClassVar

from result import Err, Ok

from radishmount.codes import Code, RunStatus
from radishmount.endpoints import Endpoint, Failure, OrderAttemptOutcome, OrderRequest, SendGate
from radishmount.orders._attempt import OrderAttempt
from radishmount.orders._context import OrderContext
from radishmount.orders._order import Order, OrderOutcome


__all__ = ["OrderRun"]

MAX_ATTEMPTS = 4
RETRYABLE_CODES = frozenset(
    {
        Code.NOT_CONNECTED,
        Code.CONNECTION_LOST,
        Code.TIMED_OUT,
        Code.BAD_REPLY,
        Code.SHED,
        Code.ENDPOINT_LEAVING,
        Code.QUEUE_FULL,
        Code.NO_ENDPOINT,
    }
)

OnOutcome = Callable[[OrderOutcome], None]


@dataclass(slots=True, eq=False)
class OrderRun:
    """The attempts to run one order, one after the other.

    `run` returns the outcome. If a reply arrives after `run` was cancelled or reached the
    deadline, its outcome is passed to `on_late_outcome`.
    """

    CANCELLED_BEFORE_SENDING: ClassVar[OrderOutcome] = OrderOutcome(
        RunStatus.NOT_RUN, Code.CANCELLED
    )

    order: Order
    context: OrderContext
    gate: SendGate | None = None
    tried_names: set[str] = field(default_factory=set)
    attempts: int = 0
    on_late_outcome: OnOutcome | None = None

    async def run(self) -> OrderOutcome:
        """Try endpoints in turn until one may have run the order or it cannot be retried."""
        self.context.retry_budget.deposit()
        last = OrderOutcome(RunStatus.NOT_RUN, Code.NO_ENDPOINT, detail=self.order.service)
        while self.attempts < MAX_ATTEMPTS:
            now_ms = self.context.clock.now_ms()
            if now_ms >= self.order.deadline_at_ms:
                return OrderOutcome(RunStatus.NOT_RUN, Code.DEADLINE_PASSED, detail=last.detail)
            endpoint = self._choose(now_ms)
            if endpoint is None:
                return last
            if self.attempts and not self.context.retry_budget.try_withdraw():
                return last
            last = await self._attempt(endpoint, now_ms)
            if last.ran is not RunStatus.NOT_RUN or last.code not in RETRYABLE_CODES:
                return last
            self.context.counters.add("order_retries", last.code.name)
        return last

    def abort(self) -> OrderOutcome | None:
        """Stop sending. Return the outcome, or none if an endpoint may have received the order."""
        if self.gate is None or self.gate.withdraw() is RunStatus.NOT_RUN:
            return self.CANCELLED_BEFORE_SENDING
        return None

    def _choose(self, now_ms: float) -> Endpoint | None:
        endpoints = self.context.pool.endpoints_of(self.order.service)
        return self.context.choose(endpoints, self.tried_names, now_ms)

    async def _attempt(self, endpoint: Endpoint, now_ms: float) -> OrderOutcome:
        self.attempts += 1
        self.tried_names.add(endpoint.name)
        self.context.counters.add("order_attempts", "all")
        gate = self.gate = SendGate(self.context.clock, self.order.deadline_at_ms)
        attempt_outcome: asyncio.Future[OrderAttemptOutcome] = (
            asyncio.get_running_loop().create_future()
        )

        def deliver(attempt: OrderAttempt, outcome: OrderAttemptOutcome) -> None:
            if not attempt_outcome.done():
                attempt_outcome.set_result(outcome)
            elif self.on_late_outcome is not None:
                self.on_late_outcome(outcome_of(outcome, gate))

        request = OrderRequest(
            self.order.request_id, self.attempts, self.order.caller, self.order.body, gate
        )
        attempt = OrderAttempt(request, endpoint, deliver, submitted_at_ms=now_ms)
        self.context.pool.submit(attempt)
        wait_ms = self.context.clock.remaining_ms(self.order.deadline_at_ms)
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                return outcome_of(await attempt_outcome, gate)
        except TimeoutError:
            return outcome_without_reply(gate)
        finally:
            attempt.cancelled = gate.withdraw() is RunStatus.NOT_RUN


def outcome_of(attempt_outcome: OrderAttemptOutcome, gate: SendGate) -> OrderOutcome:
    """Return the outcome of the order, given the result of one exchange.

    Once the body was sent, only a reply of the endpoint itself, which contains its load report,
    can say that the order did not run. After any other failure the outcome is unknown.
    """
    match attempt_outcome:
        case Ok(reply):
            return OrderOutcome(RunStatus.RAN, result=reply.result)
        case Err(failure):
            ran = _run_status_of(failure, gate)
            if ran is RunStatus.UNKNOWN:
                return OrderOutcome(ran, Code.OUTCOME_UNKNOWN, detail=failure.code.name)
            return OrderOutcome(ran, failure.code, detail=failure.detail)


def outcome_without_reply(gate: SendGate) -> OrderOutcome:
    """Return the outcome of an attempt that got no reply before the deadline."""
    if gate.withdraw() is RunStatus.NOT_RUN:
        return OrderOutcome(RunStatus.NOT_RUN, Code.DEADLINE_PASSED)
    return OrderOutcome(RunStatus.UNKNOWN, Code.OUTCOME_UNKNOWN, detail=Code.TIMED_OUT.name)


def _run_status_of(failure: Failure, gate: SendGate) -> RunStatus:
    if failure.load is not None:
        return failure.ran
    return gate.withdraw()

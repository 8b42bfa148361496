"""An order on its way to one endpoint, and to another one only if it certainly did not run."""

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
CODES_TO_RETRY = frozenset(
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

Settle = Callable[[OrderOutcome], None]


@dataclass(slots=True, eq=False)
class OrderRun:
    """The attempts at one order, one after the other.

    `run` returns the outcome. When its task is cancelled while an endpoint has the order, the
    endpoint's answer is still handed to `settle_late`.
    """

    NOT_BEGUN: ClassVar[OrderOutcome] = OrderOutcome(RunStatus.NOT_RUN, Code.CANCELLED)

    order: Order
    tools: OrderContext
    gate: SendGate | None = None
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    settle_late: Settle | None = None

    async def run(self) -> OrderOutcome:
        """Try endpoints in turn until one has the order, or none is left."""
        self.tools.retry_budget.earn()
        last = OrderOutcome(RunStatus.NOT_RUN, Code.NO_ENDPOINT, detail=self.order.service)
        while self.attempts < MAX_ATTEMPTS:
            now_ms = self.tools.clock.now_ms()
            if now_ms >= self.order.deadline_at_ms:
                return OrderOutcome(RunStatus.NOT_RUN, Code.DEADLINE_PASSED, detail=last.detail)
            endpoint = self._choose(now_ms)
            if endpoint is None:
                return last
            if self.attempts and not self.tools.retry_budget.spend():
                return last
            last = await self._attempt(endpoint, now_ms)
            if last.ran is not RunStatus.NOT_RUN or last.code not in CODES_TO_RETRY:
                return last
            self.tools.counters.add("order_retries", last.code.name)
        return last

    def cut_off(self) -> OrderOutcome | None:
        """Send nothing more; return the outcome if it is certain, none if an endpoint has it."""
        if self.gate is None or self.gate.withdraw() is RunStatus.NOT_RUN:
            return self.NOT_BEGUN
        return None

    def _choose(self, now_ms: float) -> Endpoint | None:
        endpoints = self.tools.pool.endpoints_of(self.order.service)
        return self.tools.choose(endpoints, self.tried, now_ms)

    async def _attempt(self, endpoint: Endpoint, now_ms: float) -> OrderOutcome:
        self.attempts += 1
        self.tried.add(endpoint.name)
        self.tools.counters.add("order_attempts", "all")
        gate = self.gate = SendGate(self.tools.clock, self.order.deadline_at_ms)
        answered: asyncio.Future[OrderAttemptOutcome] = asyncio.get_running_loop().create_future()

        def deliver(attempt: OrderAttempt, outcome: OrderAttemptOutcome) -> None:
            if not answered.done():
                answered.set_result(outcome)
            elif self.settle_late is not None:
                self.settle_late(outcome_of(outcome, gate))

        request = OrderRequest(
            self.order.request_id, self.attempts, self.order.caller, self.order.body, gate
        )
        attempt = OrderAttempt(request, endpoint, deliver, submitted_at_ms=now_ms)
        self.tools.pool.submit(attempt)
        wait_ms = self.tools.clock.remaining_ms(self.order.deadline_at_ms)
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                return outcome_of(await answered, gate)
        except TimeoutError:
            return unanswered(gate)
        finally:
            attempt.cancelled = gate.withdraw() is RunStatus.NOT_RUN


def outcome_of(exchange: OrderAttemptOutcome, gate: SendGate) -> OrderOutcome:
    """Return what an exchange tells of the order.

    Only the endpoint's own reply, which brings its load report, says that an order whose body
    left did not run; any other failure leaves that open.
    """
    match exchange:
        case Ok(reply):
            return OrderOutcome(RunStatus.RAN, result=reply.result)
        case Err(failure):
            ran = _ran(failure, gate)
            if ran is RunStatus.UNKNOWN:
                return OrderOutcome(ran, Code.OUTCOME_UNKNOWN, detail=failure.code.name)
            return OrderOutcome(ran, failure.code, detail=failure.detail)


def unanswered(gate: SendGate) -> OrderOutcome:
    """Return the outcome of an attempt that no answer will be awaited for any more."""
    if gate.withdraw() is RunStatus.NOT_RUN:
        return OrderOutcome(RunStatus.NOT_RUN, Code.DEADLINE_PASSED)
    return OrderOutcome(RunStatus.UNKNOWN, Code.OUTCOME_UNKNOWN, detail=Code.TIMED_OUT.name)


def _ran(failure: Failure, gate: SendGate) -> RunStatus:
    if failure.load is not None:
        return failure.ran
    return gate.withdraw()

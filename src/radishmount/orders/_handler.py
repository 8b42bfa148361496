"""The entry point for orders, and root of the aggregate that records their outcomes."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal, RunStatus
from radishmount.orders._keyed_orders import KeyedOrders
from radishmount.orders._messages import OrderAction, OrderQuestion
from radishmount.orders._order import OrderAnswer, OrderCall, refused_outcome
from radishmount.orders._runner import OrderRunner
from radishmount.orders._ticketed_orders import TicketedOrders


__all__ = ["OrderHandler"]

DEFAULT_REMAINING_MS = 10_000.0


@dataclass(slots=True)
class OrderHandler:
    """Handles orders from callers and from other instances.

    answer = await handler.place("r-1", OrderCall("workshop", "order-booking", {"bales": 2}))
    """

    runner: OrderRunner
    ticketed_orders: TicketedOrders
    keyed_orders: KeyedOrders

    async def place(self, request_id: str, call: OrderCall) -> OrderAnswer:
        """Run an order at most once, or answer a repeat with its recorded outcome.

        An order with neither a ticket nor a key runs at most once too, but its outcome is not
        recorded, so that a repeat is another order.
        """
        remaining_ms = DEFAULT_REMAINING_MS if call.deadline_ms is None else call.deadline_ms
        question = OrderQuestion(request_id, OrderAction.PLACE, call, remaining_ms)
        if call.ticket is not None and call.key is not None:
            return OrderAnswer(
                refused_outcome(Refusal(Code.BAD_FIELD, detail="both a ticket and a key"))
            )
        if call.ticket is not None:
            return await self.ticketed_orders.answer(question)
        if call.key is not None:
            return await self.keyed_orders.answer(question)
        if call.wants_ticket:
            ticket = self.ticketed_orders.issue(call.caller)
            ticketed_question = replace(question, call=replace(call, ticket=ticket))
            return replace(
                await self.ticketed_orders.answer_locally(ticketed_question), ticket=ticket
            )
        return OrderAnswer(await self.runner.run(question))

    async def enquire(
        self, request_id: str, wish: OrderAction, caller: str, ticket: str
    ) -> OrderAnswer:
        """Return the outcome of the order under `ticket`.

        With `OrderAction.VOID`, a ticket that carried no order yet becomes void.
        """
        call = OrderCall(caller, "", {}, ticket=ticket)
        return await self.ticketed_orders.answer(
            OrderQuestion(request_id, wish, call, DEFAULT_REMAINING_MS)
        )

    def issue_ticket(self, call: OrderCall) -> Result[str, Refusal]:
        """Return a new ticket, if a rule allows the caller to order from the service."""
        found = self.runner.find_rule(call)
        if isinstance(found, Err):
            return found
        return Ok(self.ticketed_orders.issue(call.caller))

    async def handle_forwarded(self, question: OrderQuestion) -> OrderAnswer:
        """Answer a question that another instance forwarded.

        It is never forwarded again, so that instances with different lists cannot send it round
        in a loop.
        """
        if question.call.ticket is not None:
            return await self.ticketed_orders.answer_locally(question)
        if question.call.key is not None and self.keyed_orders.is_owner(question):
            return await self.keyed_orders.answer_locally(question)
        return OrderAnswer(
            refused_outcome(
                Refusal(Code.KEY_UNCERTAIN, "this instance does not own the key", RunStatus.UNKNOWN)
            )
        )

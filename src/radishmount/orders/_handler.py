"""The root of the aggregate: every order of this instance, and the outcomes that it keeps."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal, RunStatus
from radishmount.orders._keyed_orders import Keys
from radishmount.orders._messages import OrderAction, OrderQuestion
from radishmount.orders._order import OrderAnswer, OrderCall, refused
from radishmount.orders._runner import OrderRunner
from radishmount.orders._ticketed_orders import Tickets


__all__ = ["OrderHandler"]

DEFAULT_REMAINING_MS = 10_000.0


@dataclass(slots=True)
class OrderHandler:
    """Takes orders from callers and from other instances.

    answer = await desk.place("r-1", OrderCall("workshop", "order-booking", {"bales": 2}))
    """

    runner: OrderRunner
    tickets: Tickets
    keys: Keys

    async def place(self, request_id: str, call: OrderCall) -> OrderAnswer:
        """Run an order at most once, or answer a repeat of it."""
        remaining_ms = DEFAULT_REMAINING_MS if call.deadline_ms is None else call.deadline_ms
        question = OrderQuestion(request_id, OrderAction.PLACE, call, remaining_ms)
        if call.ticket is not None and call.key is not None:
            return OrderAnswer(refused(Refusal(Code.BAD_FIELD, detail="a ticket and a key")))
        if call.ticket is not None:
            return await self.tickets.ask(question)
        if call.key is not None:
            return await self.keys.ask(question)
        if call.wants_ticket:
            ticket = self.tickets.issue(call.caller)
            held = replace(question, call=replace(call, ticket=ticket))
            return replace(await self.tickets.ask_here(held), ticket=ticket)
        return OrderAnswer(await self.runner.run(question))

    async def enquire(
        self, request_id: str, wish: OrderAction, caller: str, ticket: str
    ) -> OrderAnswer:
        """Tell what became of the order under `ticket`, or make a ticket void that had none."""
        call = OrderCall(caller, "", {}, ticket=ticket)
        return await self.tickets.ask(OrderQuestion(request_id, wish, call, DEFAULT_REMAINING_MS))

    def issue_ticket(self, call: OrderCall) -> Result[str, Refusal]:
        """Return a ticket for an order that the caller may place."""
        bound = self.runner.bind(call)
        if isinstance(bound, Err):
            return bound
        return Ok(self.tickets.issue(call.caller))

    async def handle_forwarded(self, question: OrderQuestion) -> OrderAnswer:
        """Answer a question that another instance passed on; it is never passed on again."""
        if question.call.ticket is not None:
            return await self.tickets.ask_here(question)
        if question.call.key is not None and self.keys.is_owner(question):
            return await self.keys.ask_here(question)
        return OrderAnswer(refused(Refusal(Code.KEY_UNCERTAIN, "not the owner", RunStatus.UNKNOWN)))

"""Tickets at work: issued here, forwarded to the instance that they name, or answered here."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Result

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.orders._fingerprint import fingerprint_of
from radishmount.orders._limits import OrderLimits
from radishmount.orders._messages import OrderAction, OrderQuestion
from radishmount.orders._order import OrderAnswer, OrderOutcome, refused
from radishmount.orders._records import OutcomeRecord, OutcomeRecords
from radishmount.orders._runner import OrderRunner
from radishmount.orders._ticket import Ticket, decode_ticket, encode_ticket


__all__ = ["Forward", "Tickets", "forwarded", "replay"]

Forward = Callable[[str, OrderQuestion], Awaitable[Result[OrderAnswer, Refusal]]]


@dataclass(slots=True)
class Tickets:
    """The tickets of this instance. Of each that carried an order it keeps the outcome.

    A ticket carries one order, once. Whatever its outcome, `not-run` too, is final: a repeat gets
    the same answer. `forgotten_up_to` is the highest number of a ticket whose record had to go
    early; of those up to it without a record nobody can tell whether they carried an order.
    """

    own_name: str
    incarnation: int
    seal_key: bytes
    clock: Clock
    runner: OrderRunner
    forward: Forward
    limits: OrderLimits = OrderLimits()
    last_number: int = 0
    forgotten_up_to: int = 0
    records: OutcomeRecords = field(init=False)

    def __post_init__(self) -> None:
        """Start without any record."""
        limits = self.limits
        self.records = OutcomeRecords(
            self.clock, self._forget, limits.max_records, limits.max_kept_chars
        )

    def issue(self, caller: str) -> str:
        """Return a new ticket for one order of `caller`."""
        self.last_number += 1
        expires_at_ms = round(self.clock.now_ms() + self.limits.ticket_valid_for_ms)
        ticket = Ticket(self.last_number, self.own_name, self.incarnation, caller, expires_at_ms)
        return encode_ticket(ticket, self.seal_key)

    async def ask(self, question: OrderQuestion) -> OrderAnswer:
        """Answer for the ticket of `question`, here or through the instance that it names."""
        ticket = decode_ticket(question.call.ticket or "", self.seal_key)
        if ticket is None or ticket.caller != question.call.caller:
            return _told(Code.UNKNOWN_TICKET, RunStatus.UNKNOWN)
        if ticket.instance != self.own_name:
            return await forwarded(self.forward, ticket.instance, question)
        return await self.ask_here(question)

    async def ask_here(self, question: OrderQuestion) -> OrderAnswer:
        """Answer for a ticket of this instance; one of any other was sent astray."""
        ticket = decode_ticket(question.call.ticket or "", self.seal_key)
        if ticket is None or ticket.instance != self.own_name:
            return _told(Code.UNKNOWN_TICKET, RunStatus.UNKNOWN)
        if ticket.incarnation != self.incarnation:
            return _told(Code.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, "the instance was started again")
        record = self.records.find(ticket.number)
        if record is not None:
            return await replay(self.records, record, question, self.clock)
        if ticket.number <= self.forgotten_up_to or self._is_forgotten(ticket):
            return _told(Code.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, "the record was dropped")
        if self.clock.now_ms() >= ticket.expires_at_ms:
            return _told(Code.TICKET_EXPIRED, RunStatus.NOT_RUN)
        if question.wish is OrderAction.ENQUIRE:
            return _told(
                Code.OUTCOME_PENDING, RunStatus.UNKNOWN, "no order has come under the ticket"
            )
        return await self._begin(ticket, question)

    async def _begin(self, ticket: Ticket, question: OrderQuestion) -> OrderAnswer:
        now_ms = self.clock.now_ms()
        record = self.records.open(
            ticket.number,
            fingerprint_of(question.call),
            now_ms + question.remaining_ms,
            ticket.expires_at_ms + self.limits.ticket_kept_after_expiry_ms,
        )
        if record is None:
            # Without a record the ticket must never carry an order after this answer.
            self.forgotten_up_to = max(self.forgotten_up_to, ticket.number)
            return _told(Code.OVERLOADED, RunStatus.NOT_RUN, "no room for one more order")
        if question.wish is OrderAction.VOID:
            self.records.settle(record, OrderOutcome(RunStatus.NOT_RUN, Code.TICKET_VOID))
            return _told(Code.TICKET_VOID, RunStatus.NOT_RUN)
        outcome = await self.runner.run_recorded(question, self.records, record)
        return OrderAnswer(outcome, question.call.ticket)

    def _is_forgotten(self, ticket: Ticket) -> bool:
        """Tell whether a record of the ticket would be gone by now."""
        return self.clock.now_ms() >= ticket.expires_at_ms + self.limits.ticket_kept_after_expiry_ms

    def _forget(self, record: OutcomeRecord) -> None:
        assert isinstance(record.id, int)
        self.forgotten_up_to = max(self.forgotten_up_to, record.id)


async def replay(
    records: OutcomeRecords, record: OutcomeRecord, question: OrderQuestion, clock: Clock
) -> OrderAnswer:
    """Answer a repeat from `record`, waiting for an order that is in flight."""
    is_order = question.wish is OrderAction.PLACE
    voided = record.outcome is not None and record.outcome.code is Code.TICKET_VOID
    if is_order and not voided and record.fingerprint != fingerprint_of(question.call):
        return _told(Code.KEY_CONFLICT, RunStatus.NOT_RUN)
    until_ms = clock.now_ms() + question.remaining_ms
    outcome = await records.wait(record, until_ms)
    if outcome is None:
        return _told(Code.OUTCOME_PENDING, RunStatus.UNKNOWN, "the order is in flight")
    return OrderAnswer(outcome, question.call.ticket, replayed=True)


async def forwarded(forward: Forward, instance: str, question: OrderQuestion) -> OrderAnswer:
    """Answer through another instance. Without its answer an earlier request may have run."""
    answered = await forward(instance, question)
    if isinstance(answered, Err):
        refusal = answered.err_value
        detail = f"{instance}: {refusal.code.name}"
        return _told(Code.INSTANCE_UNREACHABLE, RunStatus.UNKNOWN, detail)
    return answered.ok_value


def _told(code: Code, ran: RunStatus, detail: str = "") -> OrderAnswer:
    return OrderAnswer(refused(Refusal(code, detail=detail, ran=ran)))

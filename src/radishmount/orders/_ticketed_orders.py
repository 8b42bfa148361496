"""Orders under tickets, which the instance that issued the ticket runs and records."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Result

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.orders._fingerprint import fingerprint_of
from radishmount.orders._limits import OrderLimits
from radishmount.orders._messages import OrderAction, OrderQuestion
from radishmount.orders._order import OrderAnswer, OrderOutcome, refused_outcome
from radishmount.orders._records import OutcomeRecord, OutcomeRecords
from radishmount.orders._runner import OrderRunner
from radishmount.orders._ticket import Ticket, decode_ticket, encode_ticket


__all__ = ["Forward", "TicketedOrders", "answer_through", "replay"]

Forward = Callable[[str, OrderQuestion], Awaitable[Result[OrderAnswer, Refusal]]]


@dataclass(slots=True)
class TicketedOrders:
    """The orders under tickets that this instance issued, with their recorded outcomes.

    A ticket carries at most one order. Its outcome is final, also when the order did not run: a
    repeat gets the same answer. `highest_evicted_number` is the highest number of a ticket whose
    record was evicted before it expired. A ticket up to this number that has no record may or may
    not have carried an order.
    """

    own_name: str
    incarnation: int
    signing_key: bytes
    clock: Clock
    runner: OrderRunner
    forward: Forward
    limits: OrderLimits = OrderLimits()
    last_number: int = 0
    highest_evicted_number: int = 0
    records: OutcomeRecords = field(init=False)

    def __post_init__(self) -> None:
        """Create the empty store of records."""
        limits = self.limits
        self.records = OutcomeRecords(
            self.clock, self._record_eviction, limits.max_records, limits.max_total_result_chars
        )

    def issue(self, caller: str) -> str:
        """Return a new ticket for one order of `caller`."""
        self.last_number += 1
        expires_at_ms = round(self.clock.now_ms() + self.limits.ticket_valid_for_ms)
        ticket = Ticket(self.last_number, self.own_name, self.incarnation, caller, expires_at_ms)
        return encode_ticket(ticket, self.signing_key)

    async def answer(self, question: OrderQuestion) -> OrderAnswer:
        """Answer `question` here, or through the instance that issued its ticket."""
        ticket = decode_ticket(question.call.ticket or "", self.signing_key)
        if ticket is None or ticket.caller != question.call.caller:
            return _refused_answer(Code.UNKNOWN_TICKET, RunStatus.UNKNOWN)
        if ticket.instance != self.own_name:
            return await answer_through(self.forward, ticket.instance, question)
        return await self.answer_locally(question)

    async def answer_locally(self, question: OrderQuestion) -> OrderAnswer:
        """Answer for a ticket that this instance issued. Any other ticket is unknown here."""
        ticket = decode_ticket(question.call.ticket or "", self.signing_key)
        if ticket is None or ticket.instance != self.own_name:
            return _refused_answer(Code.UNKNOWN_TICKET, RunStatus.UNKNOWN)
        if ticket.incarnation != self.incarnation:
            return _refused_answer(
                Code.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, "the instance was restarted"
            )
        record = self.records.find(ticket.number)
        if record is not None:
            return await replay(self.records, record, question, self.clock)
        if ticket.number <= self.highest_evicted_number or self._is_past_retention(ticket):
            return _refused_answer(
                Code.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, "the record was dropped"
            )
        if self.clock.now_ms() >= ticket.expires_at_ms:
            return _refused_answer(Code.TICKET_EXPIRED, RunStatus.NOT_RUN)
        if question.wish is OrderAction.ENQUIRE:
            return _refused_answer(
                Code.OUTCOME_PENDING, RunStatus.UNKNOWN, "no order was placed under the ticket"
            )
        return await self._use_ticket(ticket, question)

    async def _use_ticket(self, ticket: Ticket, question: OrderQuestion) -> OrderAnswer:
        now_ms = self.clock.now_ms()
        record = self.records.create(
            ticket.number,
            fingerprint_of(question.call),
            now_ms + question.remaining_ms,
            ticket.expires_at_ms + self.limits.outcome_kept_after_expiry_ms,
        )
        if record is None:
            # The answer says that the order did not run, so the ticket must not carry one later.
            self.highest_evicted_number = max(self.highest_evicted_number, ticket.number)
            return _refused_answer(
                Code.OVERLOADED, RunStatus.NOT_RUN, "too many orders are in flight"
            )
        if question.wish is OrderAction.VOID:
            self.records.settle(record, OrderOutcome(RunStatus.NOT_RUN, Code.TICKET_VOID))
            return _refused_answer(Code.TICKET_VOID, RunStatus.NOT_RUN)
        outcome = await self.runner.run_recorded(question, self.records, record)
        return OrderAnswer(outcome, question.call.ticket)

    def _is_past_retention(self, ticket: Ticket) -> bool:
        """Return whether a record of the ticket would have expired by now."""
        return (
            self.clock.now_ms() >= ticket.expires_at_ms + self.limits.outcome_kept_after_expiry_ms
        )

    def _record_eviction(self, record: OutcomeRecord) -> None:
        assert isinstance(record.id, int)
        self.highest_evicted_number = max(self.highest_evicted_number, record.id)


async def replay(
    records: OutcomeRecords, record: OutcomeRecord, question: OrderQuestion, clock: Clock
) -> OrderAnswer:
    """Answer a repeat from `record`, waiting for the outcome while the order is in flight."""
    places_order = question.wish is OrderAction.PLACE
    voided = record.outcome is not None and record.outcome.code is Code.TICKET_VOID
    if places_order and not voided and record.fingerprint != fingerprint_of(question.call):
        return _refused_answer(Code.KEY_CONFLICT, RunStatus.NOT_RUN)
    until_ms = clock.now_ms() + question.remaining_ms
    outcome = await records.wait(record, until_ms)
    if outcome is None:
        return _refused_answer(Code.OUTCOME_PENDING, RunStatus.UNKNOWN, "the order is in flight")
    return OrderAnswer(outcome, question.call.ticket, replayed=True)


async def answer_through(forward: Forward, instance: str, question: OrderQuestion) -> OrderAnswer:
    """Forward `question` to `instance` and return its answer.

    Without an answer it is unknown whether this request or an earlier one ran the order.
    """
    answered = await forward(instance, question)
    if isinstance(answered, Err):
        refusal = answered.err_value
        detail = f"{instance}: {refusal.code.name}"
        return _refused_answer(Code.INSTANCE_UNREACHABLE, RunStatus.UNKNOWN, detail)
    return answered.ok_value


def _refused_answer(code: Code, ran: RunStatus, detail: str = "") -> OrderAnswer:
    return OrderAnswer(refused_outcome(Refusal(code, detail=detail, ran=ran)))

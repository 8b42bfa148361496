"""Callers' own idempotency keys: run by their owner, and only while it can be certain."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.counters import Counters
from radishmount.orders._fingerprint import fingerprint_of
from radishmount.orders._limits import OrderLimits
from radishmount.orders._messages import KeyAgreement, KeyClaim, OrderQuestion
from radishmount.orders._order import OrderAnswer, OrderOutcome, refused
from radishmount.orders._ownership import (
    KeyOwnership,
    key_id_of,
    may_run_key,
    owner_of,
)
from radishmount.orders._records import OutcomeRecord, OutcomeRecords
from radishmount.orders._runner import OrderRunner
from radishmount.orders._ticketed_orders import Forward, forwarded, replay


__all__ = ["RequestAgreement", "Keys"]

RequestAgreement = Callable[[str, KeyClaim], Awaitable[KeyAgreement | None]]


@dataclass(slots=True)
class Keys:
    """The keys that this instance owns, with the outcome of each that carried an order.

    `uncertain_until_ms` is when the last record that had to go early would have expired: until
    then a key without a record may be one that ran.
    """

    ownership: KeyOwnership
    clock: Clock
    runner: OrderRunner
    counters: Counters
    forward: Forward
    ask_agreement: RequestAgreement
    limits: OrderLimits = OrderLimits()
    uncertain_until_ms: float = 0.0
    records: OutcomeRecords = field(init=False)

    def __post_init__(self) -> None:
        """Start without any record."""
        limits = self.limits
        self.records = OutcomeRecords(
            self.clock, self._forget, limits.max_records, limits.max_kept_chars
        )

    async def ask(self, question: OrderQuestion) -> OrderAnswer:
        """Answer for the key of `question`, here or through its owner."""
        if self.is_owner(question):
            return await self.ask_here(question)
        owner = owner_of(_key_id(question), self.ownership.listed)
        return await forwarded(self.forward, owner, question)

    def is_owner(self, question: OrderQuestion) -> bool:
        """Tell whether this instance owns the key, by the list that it holds."""
        return owner_of(_key_id(question), self.ownership.listed) == self.ownership.own_name

    async def ask_here(self, question: OrderQuestion) -> OrderAnswer:
        """Answer for a key as its owner: from the record, or by the one run that it allows."""
        key_id = _key_id(question)
        record = self.records.find(key_id)
        if record is not None:
            return await replay(self.records, record, question, self.clock)
        now_ms = self.clock.now_ms()
        if now_ms < self.uncertain_until_ms:
            return OrderAnswer(_uncertain("a record was dropped"))
        record = self.records.open(
            key_id,
            fingerprint_of(question.call),
            now_ms + question.remaining_ms,
            now_ms + self.limits.key_lifetime_ms + question.remaining_ms,
        )
        if record is None:
            return OrderAnswer(_uncertain("no room for one more order"))
        if not await self._is_certain(key_id, record):
            self.counters.add("keys_refused_as_uncertain")
            self.records.discard(record, _uncertain("not every listed instance agrees"))
            return OrderAnswer(_uncertain("not every listed instance agrees"))
        try:
            outcome = await self.runner.run_recorded(question, self.records, record)
        finally:
            self._free_if_not_run(record)
        return OrderAnswer(outcome)

    def answer_claim(self, claim: KeyClaim) -> KeyAgreement:
        """Answer another instance that claims a key."""
        return self.ownership.answer(claim, self.clock.now_ms())

    async def _is_certain(self, key_id: str, record: OutcomeRecord) -> bool:
        """Ask every other listed instance whether this one is, and long was, the owner."""
        claim = self.ownership.own_claim(key_id)
        others = [name for name in self.ownership.listed if name != self.ownership.own_name]
        own = self.ownership.answer(claim, self.clock.now_ms())
        if not (own.agrees and own.is_old):
            return False
        try:
            answers = await asyncio.gather(*(self.ask_agreement(name, claim) for name in others))
        except asyncio.CancelledError:
            self.records.discard(record, _uncertain("cancelled"))
            raise
        agreements_by_name = {
            name: answer for name, answer in zip(others, answers, strict=True) if answer is not None
        }
        return may_run_key(own, others, agreements_by_name)

    def _free_if_not_run(self, record: OutcomeRecord) -> None:
        """Let a job send the same key again when its order certainly did not run."""
        if record.outcome is not None and record.outcome.ran is RunStatus.NOT_RUN:
            self.records.discard(record, record.outcome)

    def _forget(self, record: OutcomeRecord) -> None:
        self.uncertain_until_ms = max(self.uncertain_until_ms, record.keep_until_ms)


def _key_id(question: OrderQuestion) -> str:
    return key_id_of(question.call.caller, question.call.key or "")


def _uncertain(detail: str) -> OrderOutcome:
    return refused(Refusal(Code.KEY_UNCERTAIN, detail=detail, ran=RunStatus.UNKNOWN))

"""Orders under idempotency keys that callers choose.

One instance owns each key. It runs an order only when it is certain that none ran under the key.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.counters import Counters
from radishmount.orders._fingerprint import fingerprint_of
from radishmount.orders._limits import OrderLimits
from radishmount.orders._messages import KeyAgreement, KeyClaim, OrderQuestion
from radishmount.orders._order import OrderAnswer, OrderOutcome, refused_outcome
from radishmount.orders._ownership import (
    KeyOwnership,
    key_id_of,
    may_run_key,
    owner_of,
)
from radishmount.orders._records import OutcomeRecord, OutcomeRecords
from radishmount.orders._runner import OrderRunner
from radishmount.orders._ticketed_orders import Forward, answer_through, replay


__all__ = ["RequestAgreement", "KeyedOrders"]

RequestAgreement = Callable[[str, KeyClaim], Awaitable[KeyAgreement | None]]


@dataclass(slots=True)
class KeyedOrders:
    """The orders under the keys that this instance owns, with their recorded outcomes.

    Records may be evicted before they expire. `uncertain_until_ms` is the latest expiry of those:
    until then, an order may have run under a key that has no record.
    """

    ownership: KeyOwnership
    clock: Clock
    runner: OrderRunner
    counters: Counters
    forward: Forward
    request_agreement: RequestAgreement
    limits: OrderLimits = OrderLimits()
    uncertain_until_ms: float = 0.0
    records: OutcomeRecords = field(init=False)

    def __post_init__(self) -> None:
        """Create the empty store of records."""
        limits = self.limits
        self.records = OutcomeRecords(
            self.clock, self._record_eviction, limits.max_records, limits.max_total_result_chars
        )

    async def answer(self, question: OrderQuestion) -> OrderAnswer:
        """Answer `question` here, or through the instance that owns its key."""
        if self.is_owner(question):
            return await self.answer_locally(question)
        owner = owner_of(_key_id(question), self.ownership.listed_names)
        return await answer_through(self.forward, owner, question)

    def is_owner(self, question: OrderQuestion) -> bool:
        """Return whether this instance owns the key, according to its own instance list."""
        return owner_of(_key_id(question), self.ownership.listed_names) == self.ownership.own_name

    async def answer_locally(self, question: OrderQuestion) -> OrderAnswer:
        """Answer as the owner of the key: from the record, or by running the order.

        The refusals with `KEY_UNCERTAIN` mean that the order may have run before.
        """
        key_id = _key_id(question)
        record = self.records.find(key_id)
        if record is not None:
            return await replay(self.records, record, question, self.clock)
        now_ms = self.clock.now_ms()
        if now_ms < self.uncertain_until_ms:
            return OrderAnswer(_uncertain("a record was evicted before it expired"))
        record = self.records.create(
            key_id,
            fingerprint_of(question.call),
            now_ms + question.remaining_ms,
            now_ms + self.limits.key_lifetime_ms + question.remaining_ms,
        )
        if record is None:
            return OrderAnswer(_uncertain("too many orders are in flight"))
        if not await self._is_certain(key_id, record):
            self.counters.add("keys_refused_as_uncertain")
            self.records.discard(record, _uncertain("not every listed instance agrees"))
            return OrderAnswer(_uncertain("not every listed instance agrees"))
        try:
            outcome = await self.runner.run_recorded(question, self.records, record)
        finally:
            self._release_if_not_run(record)
        return OrderAnswer(outcome)

    def answer_claim(self, claim: KeyClaim) -> KeyAgreement:
        """Answer another instance that claims to own a key."""
        return self.ownership.answer_claim(claim, self.clock.now_ms())

    async def _is_certain(self, key_id: str, record: OutcomeRecord) -> bool:
        """Ask all other listed instances whether this one owned the key for a whole lifetime."""
        claim = self.ownership.make_claim(key_id)
        others = [name for name in self.ownership.listed_names if name != self.ownership.own_name]
        own = self.ownership.answer_claim(claim, self.clock.now_ms())
        if not (own.agrees and own.is_old):
            return False
        try:
            answers = await asyncio.gather(
                *(self.request_agreement(name, claim) for name in others)
            )
        except asyncio.CancelledError:
            self.records.discard(record, _uncertain("cancelled"))
            raise
        agreements_by_name = {
            name: answer for name, answer in zip(others, answers, strict=True) if answer is not None
        }
        return may_run_key(own, others, agreements_by_name)

    def _release_if_not_run(self, record: OutcomeRecord) -> None:
        """Drop the record of an order that certainly did not run, so that its key can be reused."""
        if record.outcome is not None and record.outcome.ran is RunStatus.NOT_RUN:
            self.records.discard(record, record.outcome)

    def _record_eviction(self, record: OutcomeRecord) -> None:
        self.uncertain_until_ms = max(self.uncertain_until_ms, record.expires_at_ms)


def _key_id(question: OrderQuestion) -> str:
    return key_id_of(question.call.caller, question.call.key or "")


def _uncertain(detail: str) -> OrderOutcome:
    return refused_outcome(Refusal(Code.KEY_UNCERTAIN, detail=detail, ran=RunStatus.UNKNOWN))

"""Builds the order handler of an instance and connects it to the peers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.fleet import Peers
from radishmount.orders import (
    Admit,
    KeyAgreement,
    KeyClaim,
    OrderAnswer,
    OrderCall,
    OrderContext,
    OrderDependencies,
    OrderHandler,
    OrderQuestion,
    OrderReport,
    make_order_handler,
)
from radishmount.publication import ActivePublication, Rule


__all__ = ["NodeOrderDependencies", "make_node_orders"]

FORWARDING_ALLOWANCE_MS = 200.0  # for the messages to travel between the two instances
AGREEMENT_TIMEOUT_MS = 500.0


@dataclass(frozen=True, slots=True)
class NodeOrderDependencies:
    """What the order handler needs of its instance. `secret` is shared by the whole fleet."""

    own_name: str
    incarnation: int
    secret: bytes
    clock: Clock
    active_publication: ActivePublication
    peers: Peers
    admit: Admit


def make_node_orders(dependencies: NodeOrderDependencies, context: OrderContext) -> OrderHandler:
    """Return the order handler of an instance, which answers the peers from now on."""
    handler = make_order_handler(
        OrderDependencies(
            own_name=dependencies.own_name,
            incarnation=dependencies.incarnation,
            secret=dependencies.secret,
            context=context,
            find_rule=_make_find_rule(dependencies.active_publication),
            admit=dependencies.admit,
            forward=_make_forward(dependencies.peers),
            request_agreement=_make_request_agreement(dependencies.peers),
        )
    )
    dependencies.peers.handle_requests(OrderQuestion, _answer_questions(handler))
    dependencies.peers.handle_requests(KeyClaim, _answer_claims(handler))
    return handler


def _make_find_rule(
    active_publication: ActivePublication,
) -> Callable[[OrderCall], Result[Rule, Refusal]]:
    def find_rule(call: OrderCall) -> Result[Rule, Refusal]:
        publication = active_publication.current
        if publication.version == 0:
            return Err(Refusal(Code.NOT_READY))
        if call.service not in publication.services_by_name:
            return Err(Refusal(Code.UNKNOWN_SERVICE, detail=call.service))
        return publication.rule_for(call.caller, call.service)

    return find_rule


def _make_forward(
    peers: Peers,
) -> Callable[[str, OrderQuestion], Awaitable[Result[OrderAnswer, Refusal]]]:
    async def forward(instance: str, question: OrderQuestion) -> Result[OrderAnswer, Refusal]:
        limit_ms = question.remaining_ms + FORWARDING_ALLOWANCE_MS
        answered = await peers.request(instance, question, limit_ms)
        if isinstance(answered, Err):
            return answered
        report = answered.ok_value
        if not isinstance(report, OrderReport):
            return Err(Refusal(Code.BAD_FRAME, detail=instance, ran=RunStatus.UNKNOWN))
        return Ok(report.answer)

    return forward


def _make_request_agreement(
    peers: Peers,
) -> Callable[[str, KeyClaim], Awaitable[KeyAgreement | None]]:
    async def request_agreement(instance: str, claim: KeyClaim) -> KeyAgreement | None:
        answered = await peers.request(instance, claim, AGREEMENT_TIMEOUT_MS)
        agreement = answered.ok()
        return agreement if isinstance(agreement, KeyAgreement) else None

    return request_agreement


def _answer_questions(
    handler: OrderHandler,
) -> Callable[[str, Any], Awaitable[Result[Any, Refusal]]]:
    async def answer(peer: str, question: OrderQuestion) -> Result[Any, Refusal]:
        return Ok(OrderReport(await handler.handle_forwarded(question)))

    return answer


def _answer_claims(handler: OrderHandler) -> Callable[[str, Any], Awaitable[Result[Any, Refusal]]]:
    async def answer(peer: str, claim: KeyClaim) -> Result[Any, Refusal]:
        if claim.owner != peer:
            return Err(Refusal(Code.STRANGER, detail=f"{peer} claims a key for {claim.owner}"))
        return Ok(handler.keyed_orders.answer_claim(claim))

    return answer

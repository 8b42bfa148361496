"""The orders of one instance, joined to its other aggregates."""

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from radishmount.admission import Admission
from radishmount.codes import Code, Ran, Refusal
from radishmount.orders import (
    KeyAgreement,
    KeyClaim,
    OrderAnswer,
    OrderCall,
    OrderDesk,
    OrderParts,
    OrderQuestion,
    OrderTools,
    make_order_desk,
    new_start_number,
)
from radishmount.publication import InForce, Rule
from radishmount.queries import QueryTools


if TYPE_CHECKING:
    from radishmount.node import NodeParts


__all__ = ["make_node_orders"]

SECRET_BYTES = 32


def make_node_orders(
    parts: "NodeParts", tools: QueryTools, in_force: InForce, admission: Admission
) -> OrderDesk:
    """Return the desk of an instance, with nobody to forward to yet."""

    def bind(call: OrderCall) -> Result[Rule, Refusal]:
        publication = in_force.current
        if publication.version == 0:
            return Err(Refusal(Code.NOT_READY))
        if call.service not in publication.services_by_name:
            return Err(Refusal(Code.UNKNOWN_SERVICE, detail=call.service))
        return publication.rule_for(call.caller, call.service)

    async def admit(call: OrderCall, rule: Rule, deadline_at_ms: float) -> Result:
        admitted = admission.admit(call.caller, rule, parts.clock.now_ms())
        return admitted if isinstance(admitted, Err) else Ok(lambda: None)

    async def forward(instance: str, question: OrderQuestion) -> Result[OrderAnswer, Refusal]:
        return Err(Refusal(Code.PEER_SILENT, detail=instance, ran=Ran.NOT_RUN))

    async def ask_agreement(instance: str, claim: KeyClaim) -> KeyAgreement | None:
        return None

    return make_order_desk(
        OrderParts(
            own_name=parts.name,
            start_number=new_start_number(parts.clock, parts.random),
            secret=parts.secret or parts.random.randbytes(SECRET_BYTES),
            tools=OrderTools(tools.pool, parts.clock, tools.choose, tools.counters),
            bind=bind,
            admit=admit,
            forward=forward,
            ask_agreement=ask_agreement,
        )
    )

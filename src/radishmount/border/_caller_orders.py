"""The callers' HTTP for orders and tickets."""

from collections.abc import Callable
from typing import Annotated, Any, Protocol

from aiohttp import web
from pydantic import Field
from result import Err, Ok, Result

from radishmount.border._http import elapsed_ms, request_id_of
from radishmount.border._models import BorderModel, read_json
from radishmount.border._responses import (
    RESULT_NAME,
    code_content,
    http_status_of,
    json_response,
    refusal_response,
)
from radishmount.border._serve import expect_continue
from radishmount.codes import Code, Refusal
from radishmount.orders import OrderAction, OrderAnswer, OrderCall, OrderLimits


__all__ = ["OrderService", "add_order_routes"]

KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 200


class OrderService(Protocol):
    """What the border of orders needs of an instance."""

    async def place(self, request_id: str, call: OrderCall) -> OrderAnswer:
        """Run an order at most once."""

    async def enquire(
        self, request_id: str, wish: OrderAction, caller: str, ticket: str
    ) -> OrderAnswer:
        """Tell what became of the order under a ticket."""

    def issue_ticket(self, call: OrderCall) -> Result[str, Refusal]:
        """Return a ticket."""


class OrderModel(BorderModel):
    """The body of an order. `order` is for the endpoint alone."""

    caller: str
    service: str
    order: dict[str, Any]
    deadline_ms: Annotated[float, Field(gt=0)] | None = None
    ticket: Annotated[str, Field(max_length=1000)] | None = None
    wants_ticket: bool = False

    def to_data(self, key: str | None, elapsed_ms: float) -> OrderCall:
        """Return the order as a data class; `elapsed_ms` have passed since its head arrived."""
        deadline_ms = None if self.deadline_ms is None else self.deadline_ms - elapsed_ms
        return OrderCall(
            self.caller,
            self.service,
            self.order,
            deadline_ms,
            self.ticket,
            key,
            self.wants_ticket,
        )


class TicketModel(BorderModel):
    """The body that asks for a ticket."""

    caller: str
    service: str


def add_order_routes(app: web.Application, orders: Callable[[], OrderService]) -> None:
    """Serve orders and tickets in `app`."""

    async def place(request: web.Request) -> web.StreamResponse:
        request_id = request_id_of(request)
        key = request.headers.get(KEY_HEADER)
        if key is not None and not 0 < len(key) <= MAX_KEY_CHARS:
            return refusal_response(Refusal(Code.BAD_FIELD, detail=KEY_HEADER), request_id)
        match read_json(OrderModel, await request.read()):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(model):
                pass
        call = model.to_data(key, elapsed_ms(request))
        return answer_response(await orders().place(request_id, call), request_id)

    async def issue(request: web.Request) -> web.StreamResponse:
        request_id = request_id_of(request)
        match read_json(TicketModel, await request.read()):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(model):
                pass
        match orders().issue_ticket(OrderCall(model.caller, model.service, {})):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(ticket):
                content = {"ticket": ticket, "valid_for_ms": OrderLimits().ticket_valid_for_ms}
                return json_response(content, request_id)

    async def enquire(request: web.Request) -> web.StreamResponse:
        request_id = request_id_of(request)
        wish = OrderAction.VOID if request.method == "DELETE" else OrderAction.ENQUIRE
        caller = request.query.get("caller", "")
        answer = await orders().enquire(request_id, wish, caller, request.match_info["ticket"])
        return answer_response(answer, request_id)

    app.router.add_post("/v1/orders", place, expect_handler=expect_continue)
    app.router.add_post("/v1/tickets", issue, expect_handler=expect_continue)
    app.router.add_get("/v1/tickets/{ticket}", enquire)
    app.router.add_delete("/v1/tickets/{ticket}", enquire)


def answer_response(answer: OrderAnswer, request_id: str) -> web.Response:
    """Return the response to an order. `ran` is there whatever the outcome."""
    outcome = answer.outcome
    content: dict[str, Any] = {"request_id": request_id, "ran": outcome.ran.value}
    if answer.ticket is not None:
        content["ticket"] = answer.ticket
    content["replayed"] = answer.replayed
    if outcome.code is None:
        content["result"] = outcome.result
        if outcome.detail:
            content["detail"] = outcome.detail
        return json_response(content, request_id)
    content["error"] = {
        **code_content(outcome.code),
        "detail": outcome.detail,
        "ran": outcome.ran.value,
    }
    response = json_response(content, request_id, http_status_of(outcome.code))
    response[RESULT_NAME] = outcome.code.name
    return response

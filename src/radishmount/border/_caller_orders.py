"""The HTTP API for orders and tickets of callers."""

from collections.abc import Callable
from typing import Annotated, Any, Protocol

from aiohttp import web
from pydantic import Field
from result import Err, Ok, Result

from radishmount.border._http import body_of, elapsed_ms, request_id_of
from radishmount.border._models import BorderModel, read_json
from radishmount.border._responses import (
    RESULT_NAME,
    code_json,
    http_status_of,
    json_response,
    refusal_response,
)
from radishmount.border._serve import send_continue
from radishmount.codes import Code, Refusal
from radishmount.orders import OrderAction, OrderAnswer, OrderCall, OrderLimits


__all__ = ["OrderService", "add_order_routes"]

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 200


class OrderService(Protocol):
    """What the HTTP API for orders needs from an instance."""

    async def place(self, request_id: str, call: OrderCall) -> OrderAnswer:
        """Run an order at most once."""

    async def enquire(
        self, request_id: str, wish: OrderAction, caller: str, ticket: str
    ) -> OrderAnswer:
        """Return the outcome of the order with `ticket`, or void the ticket."""

    def issue_ticket(self, call: OrderCall) -> Result[str, Refusal]:
        """Return a new ticket for an order by the caller of `call`."""


class OrderModel(BorderModel):
    """The body of a request for an order; `order` is passed to the endpoint as it is."""

    caller: str
    service: str
    order: dict[str, Any]
    deadline_ms: Annotated[float, Field(gt=0)] | None = None
    ticket: Annotated[str, Field(max_length=1000)] | None = None
    wants_ticket: bool = False

    def to_data(self, key: str | None, elapsed_ms: float) -> OrderCall:
        """Return the order as a data class, its deadline reduced by `elapsed_ms`.

        `elapsed_ms` is the time since the request head arrived.
        """
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
    """The body of a request for a ticket."""

    caller: str
    service: str


def add_order_routes(app: web.Application, orders: Callable[[], OrderService]) -> None:
    """Add the routes for orders and tickets to `app`; `orders` is called for each request."""

    async def place(request: web.Request) -> web.StreamResponse:
        request_id = request_id_of(request)
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is not None and not 0 < len(key) <= MAX_KEY_CHARS:
            return refusal_response(
                Refusal(Code.BAD_FIELD, detail=IDEMPOTENCY_KEY_HEADER), request_id
            )
        match read_json(OrderModel, body_of(request)):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(model):
                pass
        call = model.to_data(key, elapsed_ms(request))
        return order_response(await orders().place(request_id, call), request_id)

    async def issue(request: web.Request) -> web.StreamResponse:
        request_id = request_id_of(request)
        match read_json(TicketModel, body_of(request)):
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
        return order_response(answer, request_id)

    app.router.add_post("/v1/orders", place, expect_handler=send_continue)
    app.router.add_post("/v1/tickets", issue, expect_handler=send_continue)
    app.router.add_get("/v1/tickets/{ticket}", enquire)
    app.router.add_delete("/v1/tickets/{ticket}", enquire)


def order_response(answer: OrderAnswer, request_id: str) -> web.Response:
    """Return the response to an order; it has the field `ran` for every outcome."""
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
        **code_json(outcome.code),
        "detail": outcome.detail,
        "ran": outcome.ran.value,
    }
    response = json_response(content, request_id, http_status_of(outcome.code))
    response[RESULT_NAME] = outcome.code.name
    return response

"""The HTTP API for callers: addresses, searches and orders."""

from typing import Annotated, Protocol

from aiohttp import web
from pydantic import Field
from result import Err, Ok, Result

from radishmount.border._caller_orders import OrderService, add_order_routes
from radishmount.border._caller_responses import address_response, search_response
from radishmount.border._http import (
    HttpService,
    body_of,
    elapsed_ms,
    make_http_app,
    request_id_of,
)
from radishmount.border._metrics import RequestMetrics
from radishmount.border._models import BorderModel, Key, read_json, read_query
from radishmount.border._responses import refusal_response
from radishmount.border._serve import send_continue
from radishmount.codes import Code, Refusal
from radishmount.endpoints import SearchTerms
from radishmount.fleet import AddressAnswer
from radishmount.publication import KeyRange
from radishmount.queries import SearchAnswer, SearchCall


__all__ = ["CallerService", "make_caller_app"]

SEARCH_PATH = "/v1/search"
CANCELLABLE_PATHS = frozenset({SEARCH_PATH})
MAX_BODY_BYTES = 64 * 1024
MAX_LIMIT = 10_000
MAX_TEXT_CHARS = 4_096
MAX_NAME_CHARS = 200

CallerName = Annotated[str, Field(max_length=MAX_NAME_CHARS)]


class CallerService(HttpService, Protocol):
    """What the HTTP API for callers needs from an instance; implemented by `Node`."""

    def addresses(self, caller: str, data_centre: str) -> Result[AddressAnswer, Refusal]:
        """Return the addresses that a caller should use."""

    async def search(self, request_id: str, call: SearchCall) -> Result[SearchAnswer, Refusal]:
        """Run a search."""

    @property
    def orders(self) -> OrderService:
        """Return the service that handles orders."""


class KeysModel(BorderModel):
    """The range of keys to search; without `to` it has no upper end."""

    from_: Annotated[Key, Field(alias="from")] = ""
    to: Key | None = None


class AddressesQueryModel(BorderModel):
    """The query of a request for addresses."""

    caller: CallerName
    data_centre: CallerName = ""


class SearchModel(BorderModel):
    """The body of a search."""

    caller: CallerName
    collection: CallerName
    text: Annotated[str, Field(max_length=MAX_TEXT_CHARS)]
    limit: Annotated[int, Field(ge=1, le=MAX_LIMIT)] = 20
    keys: KeysModel = KeysModel()
    deadline_ms: float | None = None

    def to_data(self, elapsed_ms: float) -> Result[SearchCall, Refusal]:
        """Return the search as a data class, its deadline reduced by `elapsed_ms`.

        `elapsed_ms` is the time since the request head arrived.
        """
        if self.keys.to is not None and self.keys.to <= self.keys.from_:
            detail = "keys: `to` must be greater than `from`"
            return Err(Refusal(Code.BAD_FIELD, detail=detail))
        terms = SearchTerms(self.text, self.limit, KeyRange(self.keys.from_, self.keys.to))
        if self.deadline_ms is None:
            return Ok(SearchCall(self.caller, self.collection, terms))
        deadline_ms = self.deadline_ms - elapsed_ms
        if deadline_ms <= 0.0:
            return Err(Refusal(Code.DEADLINE_PASSED, detail=f"{self.deadline_ms:g} ms"))
        return Ok(SearchCall(self.caller, self.collection, terms, deadline_ms))


def make_caller_app(
    service: CallerService, metrics: RequestMetrics | None = None
) -> web.Application:
    """Return the HTTP application for callers of `service`."""

    async def addresses(request: web.Request) -> web.StreamResponse:
        request_id = request_id_of(request)
        match read_query(AddressesQueryModel, request.query):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(model):
                pass
        match service.addresses(model.caller, model.data_centre):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(answer):
                return address_response(answer, request_id)

    async def search(request: web.Request) -> web.StreamResponse:
        request_id = request_id_of(request)
        match read_json(SearchModel, body_of(request)):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(model):
                pass
        match model.to_data(elapsed_ms(request)):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(call):
                pass
        match await service.search(request_id, call):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(answer):
                return search_response(answer, request)

    app = make_http_app(
        service,
        metrics or RequestMetrics(),
        max_body_bytes=MAX_BODY_BYTES,
        cancellable=CANCELLABLE_PATHS,
    )
    app.router.add_get("/v1/addresses", addresses)
    app.router.add_post(SEARCH_PATH, search, expect_handler=send_continue)
    add_order_routes(app, lambda: service.orders)
    return app

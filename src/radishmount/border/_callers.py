"""The callers' HTTP: addresses and search."""

from collections.abc import Awaitable, Callable
from typing import Annotated, Any, Protocol

from aiohttp import web
from pydantic import Field
from result import Err, Ok, Result

from radishmount.border._caller_orders import OrderService, add_order_routes
from radishmount.border._models import BorderModel, read_json
from radishmount.border._refusals import json_response, refusal_response
from radishmount.codes import Code, Refusal
from radishmount.endpoints import SearchTerms
from radishmount.fleet import AddressAnswer
from radishmount.publication import KeyRange
from radishmount.queries import Answer, SearchCall


__all__ = ["CallerService", "make_caller_app"]

MAX_BODY_BYTES = 64 * 1024
MAX_LIMIT = 1000
REQUEST_ID_HEADER = "X-Request-Id"
REQUEST_ID = web.RequestKey("request_id", str)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CallerService(Protocol):
    """What the callers' border needs of an instance; `Node` is one."""

    def new_request_id(self) -> str:
        """Return a request id that no other request has."""

    def addresses(self, caller: str, data_centre: str) -> Result[AddressAnswer, Refusal]:
        """Return the addresses that a caller is to use."""

    async def search(self, request_id: str, call: SearchCall) -> Result[Answer, Refusal]:
        """Answer a search."""

    @property
    def orders(self) -> OrderService:
        """Return what takes orders."""


class KeysModel(BorderModel):
    """The keys that a search is narrowed to."""

    from_: Annotated[str, Field(alias="from")] = ""
    to: str | None = None


class SearchModel(BorderModel):
    """The body of a search."""

    caller: str
    collection: str
    text: Annotated[str, Field(max_length=4096)]
    limit: Annotated[int, Field(ge=1, le=MAX_LIMIT)] = 20
    keys: KeysModel = KeysModel()
    deadline_ms: Annotated[float, Field(gt=0)] | None = None

    def to_data(self) -> SearchCall:
        """Return the search as a data class."""
        terms = SearchTerms(self.text, self.limit, KeyRange(self.keys.from_, self.keys.to))
        return SearchCall(self.caller, self.collection, terms, self.deadline_ms)


def make_caller_app(service: CallerService) -> web.Application:
    """Return the application that answers callers from `service`."""

    async def addresses(request: web.Request) -> web.StreamResponse:
        caller = request.query.get("caller", "")
        data_centre = request.query.get("data_centre", "")
        request_id = _request_id(request, service)
        match service.addresses(caller, data_centre):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(answer):
                return json_response(_address_content(answer), request_id)

    async def search(request: web.Request) -> web.StreamResponse:
        request_id = _request_id(request, service)
        match read_json(SearchModel, await request.read()):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(model):
                pass
        match await service.search(request_id, model.to_data()):
            case Err(refusal):
                return refusal_response(refusal, request_id)
            case Ok(answer):
                return json_response(_answer_content(answer), request_id)

    app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[_numbered_errors(service)])
    app.router.add_get("/v1/addresses", addresses)
    app.router.add_post("/v1/search", search)
    add_order_routes(app, service.orders, lambda request: _request_id(request, service))
    return app


def _numbered_errors(service: CallerService) -> Any:
    @web.middleware
    async def numbered(request: web.Request, handler: Handler) -> web.StreamResponse:
        """Give every error that the library raises its number."""
        request_id = _request_id(request, service)
        try:
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            return refusal_response(Refusal(Code.BODY_TOO_LARGE), request_id)
        except web.HTTPNotFound:
            return refusal_response(Refusal(Code.UNKNOWN_PATH, request.path), request_id)
        except web.HTTPMethodNotAllowed:
            return refusal_response(Refusal(Code.BAD_METHOD, request.method), request_id)

    return numbered


def _request_id(request: web.Request, service: CallerService) -> str:
    known = request.get(REQUEST_ID)
    if known is None:
        known = request.headers.get(REQUEST_ID_HEADER) or service.new_request_id()
        request[REQUEST_ID] = known
    return known


def _address_content(answer: AddressAnswer) -> dict[str, Any]:
    addresses = [
        {"name": i.name, "address": i.caller_address, "data_centre": i.data_centre}
        for i in answer.instances
    ]
    return {"addresses": addresses, "valid_for_ms": answer.valid_for_ms}


def _answer_content(answer: Answer) -> dict[str, Any]:
    return {
        "request_id": answer.request_id,
        "index_version": answer.index_version,
        "complete": answer.coverage.complete,
        "coverage": {
            "ratio": answer.coverage.ratio,
            "covered": answer.coverage.covered,
            "missing": answer.coverage.missing,
        },
        "rows": [{"key": r.key, "score": r.score, "fields": r.fields} for r in answer.rows],
        "sub_requests": answer.sub_requests,
    }

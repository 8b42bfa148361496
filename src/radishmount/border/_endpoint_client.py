"""The client side of the endpoint protocol: HTTP with JSON, one connection for each channel."""

from typing import Annotated, Any

import aiohttp
import orjson
from aiohttp.payload import BytesPayload
from pydantic import Field, ValidationError
from result import Err, Ok, Result
from yarl import URL

from radishmount.border._bounded_body import read_bounded
from radishmount.border._endpoint_connection import EndpointConnection
from radishmount.border._endpoint_orders import MAX_REPLY_BYTES, REPLY_TOO_LONG, place_order
from radishmount.border._load_model import LoadModel
from radishmount.border._models import BorderModel, describe_first_error
from radishmount.codes import Code, RunStatus
from radishmount.endpoints import (
    Channel,
    Failure,
    LoadReport,
    OrderAttemptOutcome,
    OrderRequest,
    Row,
    SubReply,
    SubRequest,
    SubRequestOutcome,
)


__all__ = ["EndpointChannel", "open_endpoint_channel"]

CODE_BY_OUTCOME = {
    "shed": Code.SHED,
    "draining": Code.ENDPOINT_LEAVING,
    "version": Code.WRONG_VERSION,
    "deadline": Code.DEADLINE_PASSED,
    "error": Code.ENDPOINT_ERROR,
}


class ReplyModel(BorderModel):
    """An endpoint's reply to a sub-request."""

    outcome: str
    ran: bool
    request_id: str
    attempt: int
    shard: str
    index_version: int
    rows: list[tuple[str, float, dict[str, Any]]] = []
    detail: Annotated[str, Field(max_length=1000)] = ""
    load: LoadModel


class EndpointChannel:
    """A connection to one endpoint, opened on first use and again after it was lost."""

    def __init__(self, address: str) -> None:
        self._search_url = URL(f"http://{address}/v1/search")
        self._orders_url = URL(f"http://{address}/v1/orders")
        self._state_url = URL(f"http://{address}/v1/state")
        self._connection = EndpointConnection()

    async def exchange(self, request: SubRequest, remaining_ms: float) -> SubRequestOutcome:
        """Send `request` and return the reply, after checking that it belongs to the request."""
        body = orjson.dumps(_request_json(request, remaining_ms))
        try:
            session = self._connection.session()
            async with session.post(self._search_url, data=BytesPayload(body)) as response:
                content = await read_bounded(response, MAX_REPLY_BYTES)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(Failure(Code.NOT_CONNECTED, detail=str(error)))
        except (aiohttp.ClientError, OSError) as error:
            return Err(Failure(Code.CONNECTION_LOST, RunStatus.UNKNOWN, detail=repr(error)))
        if content is None:
            return Err(Failure(Code.BAD_REPLY, RunStatus.UNKNOWN, detail=REPLY_TOO_LONG))
        return _parse_reply(content, request)

    async def place(self, request: OrderRequest, remaining_ms: float) -> OrderAttemptOutcome:
        """Send an order; its body is sent only after the endpoint has asked for it."""
        return await place_order(
            self._connection.session(), self._orders_url, request, remaining_ms
        )

    async def probe(self) -> Result[LoadReport, Failure]:
        """Request the endpoint's state and return its load report."""
        try:
            async with self._connection.session().get(self._state_url) as response:
                content = await read_bounded(response, MAX_REPLY_BYTES)
        except (aiohttp.ClientError, OSError) as error:
            return Err(Failure(Code.NOT_CONNECTED, detail=repr(error)))
        if content is None:
            return Err(Failure(Code.BAD_REPLY, detail=REPLY_TOO_LONG))
        try:
            return Ok(LoadModel.model_validate(orjson.loads(content)).to_data())
        except (orjson.JSONDecodeError, ValidationError):
            return Err(Failure(Code.BAD_REPLY))

    async def close(self) -> bool:
        """Close the connection; return whether the endpoint confirmed it by closing its side."""
        return await self._connection.close()


def open_endpoint_channel(address: str) -> Channel:
    """Return a channel to the endpoint at `address` (`host:port`), not connected yet."""
    return EndpointChannel(address)


def _request_json(request: SubRequest, remaining_ms: float) -> dict[str, Any]:
    return {
        "request_id": request.request_id,
        "attempt": request.attempt,
        "shard": request.shard,
        "index_version": request.index_version,
        "deadline_ms": remaining_ms,
        "text": request.terms.text,
        "limit": request.terms.limit,
        "keys": {"from": request.terms.keys.low, "to": request.terms.keys.high},
    }


def _parse_reply(content: bytes, request: SubRequest) -> SubRequestOutcome:
    try:
        reply = ReplyModel.model_validate_json(content)
    except ValidationError as error:
        return Err(Failure(Code.BAD_REPLY, RunStatus.UNKNOWN, detail=describe_first_error(error)))
    if (reply.request_id, reply.attempt) != (request.request_id, request.attempt):
        return Err(
            Failure(Code.BAD_REPLY, RunStatus.UNKNOWN, detail="the reply is for another request")
        )
    load = reply.load.to_data()
    if reply.outcome != "ok":
        code = CODE_BY_OUTCOME.get(reply.outcome, Code.BAD_REPLY)
        ran = RunStatus.RAN if reply.ran else RunStatus.NOT_RUN
        return Err(Failure(code, ran, detail=reply.detail, load=load))
    if (reply.shard, reply.index_version) != (request.shard, request.index_version):
        return Err(
            Failure(
                Code.BAD_REPLY,
                RunStatus.RAN,
                detail="the reply is for another shard or index version",
            )
        )
    rows = tuple(Row(key, score, fields) for key, score, fields in reply.rows)
    return Ok(
        SubReply(reply.request_id, reply.attempt, reply.shard, reply.index_version, rows, load)
    )

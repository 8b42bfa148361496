"""The endpoint protocol for orders: the body is sent only after `100 Continue`."""

import asyncio
from collections.abc import AsyncIterator
from typing import Annotated, Any

import aiohttp
import orjson
from pydantic import Field, ValidationError
from result import Err, Ok
from yarl import URL

from radishmount.border._bounded_body import read_bounded
from radishmount.border._load_model import LoadModel
from radishmount.border._models import BorderModel, describe_first_error
from radishmount.codes import Code, RunStatus
from radishmount.endpoints import Failure, OrderAttemptOutcome, OrderReply, OrderRequest


__all__ = ["MAX_REPLY_BYTES", "REPLY_TOO_LONG", "place_order"]

CONTINUE_TIMEOUT_MS = 250.0
CONTINUE_SHARE_OF_DEADLINE = 0.3
DEADLINE_CHARS = 12
MAX_REPLY_BYTES = 4 * 1024 * 1024  # as for the responses of forwarded requests
REPLY_TOO_LONG = f"the reply has more than {MAX_REPLY_BYTES} bytes"
CODE_BY_OUTCOME = {
    "shed": Code.SHED,
    "draining": Code.ENDPOINT_LEAVING,
    "deadline": Code.DEADLINE_PASSED,
    "error": Code.ENDPOINT_ERROR,
}


class BodyWithheld(Exception):
    """Raised instead of sending the body, when the gate of the order no longer permits it."""


class OrderReplyModel(BorderModel):
    """An endpoint's reply to an order."""

    outcome: str
    ran: bool
    request_id: str
    attempt: int
    result: dict[str, Any] = {}
    detail: Annotated[str, Field(max_length=1000)] = ""
    load: LoadModel


async def place_order(
    session: aiohttp.ClientSession, url: URL, request: OrderRequest, remaining_ms: float
) -> OrderAttemptOutcome:
    """Send the headers, then the body after `100 Continue`, and read the reply.

    An endpoint that does not continue in time never gets the body, so the order did not run.
    `remaining_ms` limits the wait for the reply. The body tells the endpoint in how many
    milliseconds the order must start.
    """
    started = asyncio.get_running_loop().time()
    ends_at = started + remaining_ms / 1000.0
    start_deadline_ms = request.gate.remaining_ms()
    continue_ms = min(CONTINUE_TIMEOUT_MS, start_deadline_ms * CONTINUE_SHARE_OF_DEADLINE)
    prefix = _body_prefix(request)
    headers = {
        "Content-Length": str(len(prefix) + DEADLINE_CHARS + 1),
        "Content-Type": "application/json",
    }
    try:
        async with asyncio.timeout_at(started + continue_ms / 1000.0) as timeout:

            async def body() -> AsyncIterator[bytes]:
                if not request.gate.release():
                    raise BodyWithheld
                timeout.reschedule(ends_at)
                yield prefix + f"{request.gate.remaining_ms():{DEADLINE_CHARS}.1f}}}".encode()

            async with session.post(
                url,
                data=body(),
                headers=headers,
                expect100=True,
                allow_redirects=False,
            ) as response:
                content = await read_bounded(response, MAX_REPLY_BYTES)
                if request.gate.withdraw() is RunStatus.NOT_RUN:
                    response.close()
    except TimeoutError:
        return Err(Failure(Code.TIMED_OUT, request.gate.withdraw()))
    except aiohttp.ClientConnectorError as error:
        return Err(Failure(Code.NOT_CONNECTED, request.gate.withdraw(), detail=str(error)))
    except (aiohttp.ClientError, OSError) as error:
        return Err(Failure(Code.CONNECTION_LOST, request.gate.withdraw(), detail=repr(error)))
    if content is None:
        return Err(Failure(Code.BAD_REPLY, request.gate.withdraw(), detail=REPLY_TOO_LONG))
    return _parse_reply(content, request)


def _body_prefix(request: OrderRequest) -> bytes:
    """Return the body up to the value of `deadline_ms`, which is filled in on sending."""
    content = {
        "request_id": request.request_id,
        "attempt": request.attempt,
        "caller": request.caller,
        "order": request.body,
    }
    return orjson.dumps(content)[:-1] + b',"deadline_ms":'


def _parse_reply(content: bytes, request: OrderRequest) -> OrderAttemptOutcome:
    """Parse the reply; without a valid one the run status follows from the gate alone."""
    ran_by_gate = request.gate.withdraw()
    try:
        reply = OrderReplyModel.model_validate_json(content)
    except ValidationError as error:
        return Err(Failure(Code.BAD_REPLY, ran_by_gate, detail=describe_first_error(error)))
    if (reply.request_id, reply.attempt) != (request.request_id, request.attempt):
        return Err(Failure(Code.BAD_REPLY, ran_by_gate, detail="the reply is for another request"))
    load = reply.load.to_data()
    if reply.outcome == "ok" and reply.ran:
        return Ok(OrderReply(reply.request_id, reply.attempt, reply.result, load))
    code = CODE_BY_OUTCOME.get(reply.outcome)
    if code is None or reply.outcome == "ok":
        return Err(Failure(Code.BAD_REPLY, ran_by_gate, detail=reply.outcome, load=load))
    ran = RunStatus.RAN if reply.ran else RunStatus.NOT_RUN
    return Err(Failure(code, ran, detail=reply.detail, load=load))

"""Encodes frames between instances as msgpack, and validates received ones."""

from typing import Any

import msgpack
from pydantic import ValidationError
from result import Err, Ok, Result

from radishmount.border._models import describe_first_error
from radishmount.border._peer_models import (
    PEER_MODELS,
    PeerModel,
    defaults_of,
    values_of,
)
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.fleet import Frame, Message, Notice, Request, Response


__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "register_peer_models",
    "pack_frame",
    "unpack_frame",
]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 256 * 1024
REFUSAL_KIND = "refusal"
MODELS_BY_KIND: dict[str, type[PeerModel]] = {}
KINDS_BY_TYPE: dict[type, str] = {}


def register_peer_models(*models: type[PeerModel]) -> None:
    """Register the models of messages, so that they can be sent between instances."""
    for model in models:
        kind = model.data_type.__name__
        MODELS_BY_KIND[kind] = model
        KINDS_BY_TYPE[model.data_type] = kind


def pack_frame(frame: Frame) -> Result[bytes, Refusal]:
    """Encode `frame`, or refuse if it exceeds `MAX_FRAME_BYTES`."""
    match frame:
        case Notice(message):
            content = ["n", 0, *_pack_message(message)]
        case Request(number, message):
            content = ["q", number, *_pack_message(message)]
        case Response(number, message):
            content = ["a", number, *_pack_message(message)]
    packed: bytes = msgpack.packb(content)
    if len(packed) > MAX_FRAME_BYTES:
        return Err(Refusal(Code.FRAME_TOO_LARGE, detail=f"{len(packed)} bytes"))
    return Ok(packed)


def unpack_frame(content: bytes) -> Result[Frame, Refusal]:
    """Decode and validate the frame in `content`, or refuse with the first error.

    The bytes of a frame are whole and authenticated, so a refusal concerns this message only.
    """
    try:
        values = msgpack.unpackb(content)
        frame_type, number, kind, body = values
        if not isinstance(number, int) or number < 0:
            return Err(Refusal(Code.UNREADABLE_MESSAGE, detail="the frame number is invalid"))
        message = _unpack_message(kind, body)
    except ValidationError as error:
        return Err(Refusal(Code.UNREADABLE_MESSAGE, detail=describe_first_error(error)))
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        return Err(Refusal(Code.UNREADABLE_MESSAGE, detail=repr(error)))
    return _make_frame(frame_type, number, message)


def _make_frame(frame_type: Any, number: int, message: Message) -> Result[Frame, Refusal]:
    if frame_type == "a":
        return Ok(Response(number, message))
    if isinstance(message, Refusal):
        return Err(Refusal(Code.UNREADABLE_MESSAGE, detail="a refusal that is not a response"))
    if frame_type == "n":
        return Ok(Notice(message))
    if frame_type == "q":
        return Ok(Request(number, message))
    return Err(
        Refusal(
            Code.UNREADABLE_MESSAGE,
            detail="the frame is neither a notice, a request nor a response",
        )
    )


def _pack_message(message: Message) -> tuple[str, Any]:
    if isinstance(message, Refusal):
        return REFUSAL_KIND, [message.code.value, message.detail[:500], message.ran.value]
    kind = KINDS_BY_TYPE[type(message)]
    values = values_of(message)
    for _ in range(MODELS_BY_KIND[kind].omittable_fields):
        if values[-1] != defaults_of(message)[len(values) - 1]:
            break
        del values[-1]
    return kind, values


def _unpack_message(kind: Any, body: Any) -> Message:
    if kind == REFUSAL_KIND:
        number, detail, ran = body
        return Refusal(Code(number), str(detail), RunStatus(ran))
    return MODELS_BY_KIND[kind].from_values(body).to_data()


register_peer_models(*PEER_MODELS)

"""The base class of all validated models, and helpers for their validation errors."""

from collections.abc import Mapping
from typing import Annotated, TypeVar

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from radishmount.codes import Code, Refusal


__all__ = [
    "BorderModel",
    "DigitString",
    "IndexVersion",
    "Key",
    "Name",
    "describe_error",
    "describe_first_error",
    "describe_all_errors",
    "errors_of",
    "read_json",
    "read_query",
]

MAX_KEY_CHARS = 1_000
MAX_INDEX_VERSION = 2**53
MAX_SEGMENT_CHARS = 100

Model = TypeVar("Model", bound="BorderModel")
Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9._-]+$")]
Key = Annotated[str, Field(max_length=MAX_KEY_CHARS)]
DigitString = Annotated[str, Field(pattern=r"^[0-9]{1,15}$")]
IndexVersion = Annotated[int, Field(ge=1, le=MAX_INDEX_VERSION)]


class BorderModel(BaseModel):
    """A strict model: unknown fields, type conversions, NaN and infinity are errors."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


def read_json(model: type[Model], body: bytes) -> Result[Model, Refusal]:
    """Validate the JSON object `body` as `model`, or refuse with the first invalid field."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Err(Refusal(Code.BAD_BODY, detail=str(error)))
    if not isinstance(value, dict):
        return Err(Refusal(Code.BAD_BODY, detail="the body is not a JSON object"))
    try:
        return Ok(model.model_validate(value))
    except ValidationError as error:
        return Err(Refusal(Code.BAD_FIELD, detail=describe_first_error(error)))


def read_query(model: type[Model], query: Mapping[str, str]) -> Result[Model, Refusal]:
    """Validate the query of a URL as `model`, or refuse with the first invalid parameter.

    All parameters are strings; a model declares a number as a `DigitString`.
    """
    try:
        return Ok(model.model_validate(dict(query)))
    except ValidationError as error:
        return Err(Refusal(Code.BAD_FIELD, detail=describe_first_error(error)))


def errors_of(error: ValidationError) -> list[ErrorDetails]:
    """Return the details of each error in `error`, without URLs and input values."""
    return error.errors(include_url=False, include_input=False)


def describe_first_error(error: ValidationError) -> str:
    """Return the first error in `error` as `field.path: message`."""
    return describe_error(errors_of(error)[0])


def describe_all_errors(error: ValidationError) -> str:
    """Return all errors in `error`, separated by semicolons."""
    return "; ".join(describe_error(details) for details in errors_of(error))


def describe_error(details: ErrorDetails, skipped_segments: int = 0) -> str:
    """Return one error as `field.path: message`.

    The first `skipped_segments` segments of the path are left out.
    """
    segments = details["loc"][skipped_segments:]
    if not segments:
        return details["msg"]
    place = ".".join(str(segment)[:MAX_SEGMENT_CHARS] for segment in segments)
    return f"{place}: {details['msg']}"

"""The base of all validated models: unknown fields and wrong types are errors."""

from collections.abc import Mapping
from typing import Annotated, TypeVar

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from radishmount.codes import Code, Refusal


__all__ = [
    "BorderModel",
    "Digits",
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
MAX_STEP_CHARS = 100

Model = TypeVar("Model", bound="BorderModel")
Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9._-]+$")]
Key = Annotated[str, Field(max_length=MAX_KEY_CHARS)]
Digits = Annotated[str, Field(pattern=r"^[0-9]{1,15}$")]
IndexVersion = Annotated[int, Field(ge=1, le=MAX_INDEX_VERSION)]


class BorderModel(BaseModel):
    """Strict in what it takes: no unknown field, no conversion, no number that is not finite."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


def read_json(model: type[Model], body: bytes) -> Result[Model, Refusal]:
    """Return `body` as `model`, or a refusal that names the field at fault."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Err(Refusal(Code.BAD_BODY, detail=str(error)))
    if not isinstance(value, dict):
        return Err(Refusal(Code.BAD_BODY, detail="not an object"))
    try:
        return Ok(model.model_validate(value))
    except ValidationError as error:
        return Err(Refusal(Code.BAD_FIELD, detail=describe_first_error(error)))


def read_query(model: type[Model], query: Mapping[str, str]) -> Result[Model, Refusal]:
    """Return the query of a URL as `model`, or a refusal that names the parameter at fault.

    All parameters are texts; a model that wants a number takes it with `Digits`.
    """
    try:
        return Ok(model.model_validate(dict(query)))
    except ValidationError as error:
        return Err(Refusal(Code.BAD_FIELD, detail=describe_first_error(error)))


def errors_of(error: ValidationError) -> list[ErrorDetails]:
    """Return the single faults of `error`."""
    return error.errors(include_url=False, include_input=False)


def describe_first_error(error: ValidationError) -> str:
    """Return the first fault of `error` as `field.path: message`."""
    return describe_error(errors_of(error)[0])


def describe_all_errors(error: ValidationError) -> str:
    """Return every fault of `error`, one after the other."""
    return "; ".join(describe_error(details) for details in errors_of(error))


def describe_error(details: ErrorDetails, skipped_steps: int = 0) -> str:
    """Return one fault as `field.path: message`, without the first `skipped_steps` of the path."""
    steps = details["loc"][skipped_steps:]
    if not steps:
        return details["msg"]
    place = ".".join(str(step)[:MAX_STEP_CHARS] for step in steps)
    return f"{place}: {details['msg']}"

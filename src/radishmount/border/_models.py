"""The base of all validated models: unknown fields and wrong types are errors."""

from typing import TypeVar

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from radishmount.codes import Code, Refusal


__all__ = ["BorderModel", "describe_fault", "read_json"]

Model = TypeVar("Model", bound="BorderModel")


class BorderModel(BaseModel):
    """Strict in what it takes: no unknown field, no conversion between types."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


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
        return Err(Refusal(Code.BAD_FIELD, detail=describe_fault(error)))


def describe_fault(error: ValidationError) -> str:
    """Return the first fault of `error` as `field.path: message`."""
    first = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(step) for step in first["loc"])
    return f"{place}: {first['msg']}"

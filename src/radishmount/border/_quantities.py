"""Types for quantities with units, limits and addresses in settings and published objects."""

import re
from collections.abc import Callable
from typing import Annotated

from pydantic import AfterValidator, BeforeValidator, Field
from pydantic_core import PydanticCustomError


__all__ = [
    "LIMIT_OF_ZERO",
    "UNKNOWN_UNIT",
    "Duration",
    "Limit",
    "ListenAddress",
    "Rate",
    "ReachableAddress",
    "require_positive",
]

LIMIT_OF_ZERO = "limit_of_zero"
UNKNOWN_UNIT = "unknown_unit"
MAX_QUANTITY = 1e9
MAX_PORT = 65_535
MS_BY_UNIT = {"ms": 1.0, "s": 1_000.0, "min": 60_000.0}
PER_S_BY_UNIT = {"/s": 1.0, "/min": 1.0 / 60.0}
OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
ADDRESS_PATTERN = re.compile(rf"{OCTET}(?:\.{OCTET}){{3}}:([0-9]{{1,5}})")
QUANTITY_PATTERN = re.compile(r"^([0-9]{1,15}(?:\.[0-9]{1,15})?) ?([a-z/]*)$")


def require_positive(value: float) -> float:
    """Return `value` if it is positive; raise a validation error otherwise."""
    if value <= 0:
        raise PydanticCustomError(LIMIT_OF_ZERO, "must be above zero")
    return value


def _quantity_parser(factor_by_unit: dict[str, float]) -> Callable[[object], float]:
    units = ", ".join(factor_by_unit)

    def read(value: object) -> float:
        if not isinstance(value, str):
            raise PydanticCustomError(
                "quantity", f"must be a string that ends in one of the units {units}"
            )
        match = QUANTITY_PATTERN.match(value)
        if match is None:
            raise PydanticCustomError(
                "quantity", f"must be a number followed by one of the units {units}"
            )
        if match[2] not in factor_by_unit:
            raise PydanticCustomError(UNKNOWN_UNIT, f"must have one of the units {units}")
        return float(match[1]) * factor_by_unit[match[2]]

    return read


def _address_validator(min_port: int) -> Callable[[str], str]:
    def check(value: str) -> str:
        match = ADDRESS_PATTERN.fullmatch(value)
        if match is None:
            raise PydanticCustomError("address", "must be an IPv4 address and a port")
        if not min_port <= int(match[1]) <= MAX_PORT:
            raise PydanticCustomError("address", f"must have a port from {min_port} to 65535")
        return value

    return check


Duration = Annotated[float, BeforeValidator(_quantity_parser(MS_BY_UNIT)), Field(le=MAX_QUANTITY)]
Rate = Annotated[float, BeforeValidator(_quantity_parser(PER_S_BY_UNIT)), Field(le=MAX_QUANTITY)]
Limit = Annotated[int, Field(le=1_000_000), AfterValidator(require_positive)]
ReachableAddress = Annotated[str, AfterValidator(_address_validator(min_port=1))]
ListenAddress = Annotated[str, AfterValidator(_address_validator(min_port=0))]

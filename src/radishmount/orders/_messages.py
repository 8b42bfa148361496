"""The messages about orders between instances. `radishmount.border` encodes and validates them."""

from dataclasses import dataclass
from enum import StrEnum

from radishmount.orders._order import OrderAnswer, OrderCall


__all__ = ["KeyAgreement", "KeyClaim", "OrderQuestion", "OrderReport", "OrderAction"]


class OrderAction(StrEnum):
    """What a caller asks for: to place an order, to enquire about one, or to void a ticket."""

    PLACE = "place"
    ENQUIRE = "enquire"
    VOID = "void"


@dataclass(frozen=True, slots=True)
class OrderQuestion:
    """An order, or a question about one, for the instance that records its outcome.

    `remaining_ms` is the time left until the caller's deadline.
    """

    request_id: str
    wish: OrderAction
    call: OrderCall
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class OrderReport:
    """The answer to an `OrderQuestion`."""

    answer: OrderAnswer


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """Asks whether `owner`, the sender, was the owner of a key for a whole key lifetime.

    `incarnation` tells one start of the owner from another.
    """

    key_id: str
    owner: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class KeyAgreement:
    """The answer to a `KeyClaim`.

    `is_old` means that the answering instance remembers its instance lists of a whole key
    lifetime.
    """

    agrees: bool
    is_old: bool

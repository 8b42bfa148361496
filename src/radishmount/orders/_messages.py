"""What instances say to each other about orders. The border encodes and checks each of these."""

from dataclasses import dataclass
from enum import StrEnum

from radishmount.orders._order import OrderAnswer, OrderCall


__all__ = ["KeyAgreement", "KeyClaim", "OrderQuestion", "OrderReport", "OrderAction"]


class OrderAction(StrEnum):
    """What a caller wants of an order under a ticket or key."""

    PLACE = "place"
    ENQUIRE = "enquire"
    VOID = "void"


@dataclass(frozen=True, slots=True)
class OrderQuestion:
    """An order, or a question about one, on its way to the instance that keeps its outcome."""

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
    """Asks whether the sender, of this incarnation, has been the owner of a key for long."""

    key_id: str
    owner: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class KeyAgreement:
    """The answer to a `KeyClaim`; `is_old` tells that the answering instance remembers enough."""

    agrees: bool
    is_old: bool

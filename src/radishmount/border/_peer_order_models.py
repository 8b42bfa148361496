"""The validated models of messages between instances about orders."""

from typing import Annotated, Any

from pydantic import Field

from radishmount.border._peer_models import PeerModel
from radishmount.codes import Code, RunStatus
from radishmount.orders import (
    KeyAgreement,
    KeyClaim,
    OrderAction,
    OrderAnswer,
    OrderCall,
    OrderOutcome,
    OrderQuestion,
    OrderReport,
)


__all__ = ["ORDER_PEER_MODELS"]

MAX_NAME_CHARS = 200
MAX_KEY_CHARS = 500
MAX_TICKET_CHARS = 1_000
MAX_DETAIL_CHARS = 4_000

Name = Annotated[str, Field(max_length=MAX_NAME_CHARS)]
Ticket = Annotated[str, Field(max_length=MAX_TICKET_CHARS)]


class OrderCallModel(PeerModel):
    """An order as the caller requested it."""

    data_type = OrderCall
    caller: Name
    service: Name
    body: dict[str, Any]
    deadline_ms: float | None
    ticket: Ticket | None
    key: Annotated[str, Field(max_length=MAX_KEY_CHARS)] | None
    wants_ticket: bool


class OrderQuestionModel(PeerModel):
    """A forwarded order, or a question about an earlier one."""

    data_type = OrderQuestion
    request_id: Name
    wish: Annotated[OrderAction, Field(strict=False)]
    call: list[Any]
    remaining_ms: Annotated[float, Field(ge=0.0)]

    def to_data(self) -> OrderQuestion:
        """Return the message as a data class."""
        call = OrderCallModel.from_values(self.call).to_data()
        return OrderQuestion(self.request_id, self.wish, call, self.remaining_ms)


class OrderOutcomeModel(PeerModel):
    """The outcome of an order."""

    data_type = OrderOutcome
    ran: Annotated[RunStatus, Field(strict=False)]
    code: Annotated[Code, Field(strict=False)] | None
    result: dict[str, Any] | None
    detail: Annotated[str, Field(max_length=MAX_DETAIL_CHARS)]


class OrderAnswerModel(PeerModel):
    """The answer to the caller of an order."""

    data_type = OrderAnswer
    outcome: list[Any]
    ticket: Ticket | None
    replayed: bool

    def to_data(self) -> OrderAnswer:
        """Return the answer as a data class."""
        outcome = OrderOutcomeModel.from_values(self.outcome).to_data()
        return OrderAnswer(outcome, self.ticket, self.replayed)


class OrderReportModel(PeerModel):
    """The answer to an `OrderQuestion`."""

    data_type = OrderReport
    answer: list[Any]

    def to_data(self) -> OrderReport:
        """Return the message as a data class."""
        return OrderReport(OrderAnswerModel.from_values(self.answer).to_data())


class KeyClaimModel(PeerModel):
    """Asks a peer to agree that `owner` owns an idempotency key."""

    data_type = KeyClaim
    key_id: Annotated[str, Field(max_length=MAX_KEY_CHARS + MAX_NAME_CHARS)]
    owner: Name
    incarnation: Annotated[int, Field(ge=0, lt=2**63)]


class KeyAgreementModel(PeerModel):
    """The answer to a `KeyClaim`."""

    data_type = KeyAgreement
    agrees: bool
    is_old: bool


ORDER_PEER_MODELS: tuple[type[PeerModel], ...] = (
    OrderQuestionModel,
    OrderReportModel,
    KeyClaimModel,
    KeyAgreementModel,
)

"""What is sent to an endpoint for an order, and the gate that its body passes at most once."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from result import Result

from radishmount.clock import Clock
from radishmount.codes import RunStatus
from radishmount.endpoints._exchange import Failure, LoadReport


__all__ = ["OrderAttemptOutcome", "OrderReply", "OrderRequest", "SendGate"]


class GateState(Enum):
    """Whether the body of an order is still here, has left, or never will."""

    HELD = auto()
    LEFT = auto()
    WITHDRAWN = auto()


@dataclass(slots=True, eq=False)
class SendGate:
    """Decides once whether the body of an order leaves for its endpoint.

    Whatever becomes of the connection, an order whose gate was withdrawn did not run there, and
    one whose body left may have run until the endpoint itself says that it did not.

        if not gate.leave():
            raise BodyWithheld
    """

    clock: Clock
    deadline_at_ms: float
    state: GateState = GateState.HELD

    def remaining_ms(self) -> float:
        """Return the time in which the order may still begin."""
        return self.clock.remaining_ms(self.deadline_at_ms)

    def release(self) -> bool:
        """Let the body go if it may; a passed deadline withdraws it."""
        if self.state is not GateState.HELD:
            return False
        if self.clock.now_ms() >= self.deadline_at_ms:
            self.state = GateState.WITHDRAWN
            return False
        self.state = GateState.LEFT
        return True

    def withdraw(self) -> RunStatus:
        """Keep the body back from now on, and tell what is known without an answer."""
        if self.state is GateState.LEFT:
            return RunStatus.UNKNOWN
        self.state = GateState.WITHDRAWN
        return RunStatus.NOT_RUN


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """One attempt at an order. The endpoint is told the time that remains when the body leaves."""

    request_id: str
    attempt: int
    caller: str
    body: dict[str, Any]
    gate: SendGate

    @property
    def deadline_at_ms(self) -> float:
        """Return the time after which the order must not begin."""
        return self.gate.deadline_at_ms


@dataclass(frozen=True, slots=True)
class OrderReply:
    """The result of an order that ran."""

    request_id: str
    attempt: int
    result: dict[str, Any]
    load: LoadReport

    def answers(self, request: OrderRequest) -> bool:
        """Tell whether this is the reply to `request`."""
        return (self.request_id, self.attempt) == (request.request_id, request.attempt)


OrderAttemptOutcome = Result[OrderReply, Failure]

"""Orders to endpoints, their replies, and the gate that releases an order's body at most once."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from result import Result

from radishmount.clock import Clock
from radishmount.codes import RunStatus
from radishmount.endpoints._exchange import Failure, LoadReport


__all__ = ["OrderAttemptOutcome", "OrderReply", "OrderRequest", "SendGate"]


class GateState(Enum):
    """Whether the body of an order is held, was released to be sent, or never will be."""

    HELD = auto()
    RELEASED = auto()
    WITHDRAWN = auto()


@dataclass(slots=True, eq=False)
class SendGate:
    """Decides once whether the body of an order may be sent to its endpoint.

    Whatever happens to the connection, an order whose gate was withdrawn did not run there. One
    whose body was released may have run, unless the endpoint itself says that it did not.

        if not gate.release():
            raise BodyWithheld
    """

    clock: Clock
    deadline_at_ms: float
    state: GateState = GateState.HELD

    def remaining_ms(self) -> float:
        """Return the time in milliseconds in which the order may still begin."""
        return self.clock.remaining_ms(self.deadline_at_ms)

    def release(self) -> bool:
        """Release the body and return true, unless it is not held or the deadline has passed."""
        if self.state is not GateState.HELD:
            return False
        if self.clock.now_ms() >= self.deadline_at_ms:
            self.state = GateState.WITHDRAWN
            return False
        self.state = GateState.RELEASED
        return True

    def withdraw(self) -> RunStatus:
        """Withdraw the body unless it was released; return whether the order may have run."""
        if self.state is GateState.RELEASED:
            return RunStatus.UNKNOWN
        self.state = GateState.WITHDRAWN
        return RunStatus.NOT_RUN


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """One attempt at an order, sent with the time that remains when its body is released."""

    request_id: str
    attempt: int
    caller: str
    body: dict[str, Any]
    gate: SendGate

    @property
    def deadline_at_ms(self) -> float:
        """Return the time on the monotonic clock after which the order must not begin."""
        return self.gate.deadline_at_ms


@dataclass(frozen=True, slots=True)
class OrderReply:
    """The result of an order that ran."""

    request_id: str
    attempt: int
    result: dict[str, Any]
    load: LoadReport

    def answers(self, request: OrderRequest) -> bool:
        """Return whether this is the reply to `request`."""
        return (self.request_id, self.attempt) == (request.request_id, request.attempt)


OrderAttemptOutcome = Result[OrderReply, Failure]

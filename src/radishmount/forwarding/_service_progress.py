"""What one service of a forwarded request has had and waits for."""

from dataclasses import dataclass, field
from math import inf

from radishmount.endpoints import Attempt, Failure, ForwardReply


__all__ = ["PartProgress"]


@dataclass(slots=True, eq=False)
class PartProgress:
    """One part of the answer. `act_at_ms` is when to hedge or to look for an endpoint again.

    `runs` counts the attempts that ran or may have run. `spare` is the answer of an endpoint that
    failed, for want of a better one.
    """

    service: str
    open_attempts: list[Attempt] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    first_sent_at_ms: float | None = None
    act_at_ms: float = inf
    reply: ForwardReply | None = None
    spare: ForwardReply | None = None
    failure: Failure | None = None

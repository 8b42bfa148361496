"""The progress of a forwarded request at one service."""

from dataclasses import dataclass, field
from math import inf

from radishmount.endpoints import Attempt, Failure, ForwardReply


__all__ = ["ServiceProgress"]


@dataclass(slots=True, eq=False)
class ServiceProgress:
    """The attempts of one request at one service, and the reply once there is one.

    `hedge_at_ms` is when to send a hedge, infinite when none is scheduled. `possible_runs` counts
    the attempts that ran or may have run, and `unsent_count` those that ended before they were
    sent to their endpoint. `error_reply` is an error response of an endpoint, used
    when no better reply comes.
    """

    service: str
    open_attempts: list[Attempt] = field(default_factory=list)
    tried_endpoints: set[str] = field(default_factory=set)
    send_count: int = 0
    possible_runs: int = 0
    unsent_count: int = 0
    first_sent_at_ms: float | None = None
    hedge_at_ms: float = inf
    reply: ForwardReply | None = None
    error_reply: ForwardReply | None = None
    last_failure: Failure | None = None

"""The progress of one shard in a fan-out."""

from dataclasses import dataclass, field

from radishmount.endpoints import Attempt, Purpose, SubReply
from radishmount.publication import Shard
from radishmount.queries._service_state import ServiceState


__all__ = ["ShardProgress"]

INITIAL_BACKOFF_MS = 10.0
MAX_BACKOFF_MS = 160.0


@dataclass(slots=True, eq=False)
class ShardProgress:
    """The attempts of one fan-out at one shard, and the reply once there is one.

    `next_action_at_ms` is when to send a hedge, to cancel attempts that are not sent yet, or to
    retry. `hedged` is true once a hedge was sent or withheld. `is_unavailable` is true while no
    usable replica holds the index version of the snapshot.
    """

    shard: Shard
    service_state: ServiceState
    open_attempts: list[Attempt] = field(default_factory=list)
    tried_endpoints: set[str] = field(default_factory=set)
    next_action_at_ms: float = 0.0
    first_sent_at_ms: float | None = None
    hedged: bool = False
    hedge_postponed: bool = False
    backoff_ms: float = INITIAL_BACKOFF_MS
    is_unavailable: bool = False
    reply: SubReply | None = None

    @property
    def next_purpose(self) -> Purpose:
        """Return the purpose of the next attempt, provided that none is open."""
        return Purpose.FIRST if self.first_sent_at_ms is None else Purpose.RETRY

    def next_backoff_ms(self) -> float:
        """Return how long to wait before the next try; the backoff doubles each time."""
        backoff_ms = self.backoff_ms
        self.backoff_ms = min(MAX_BACKOFF_MS, 2.0 * backoff_ms)
        return backoff_ms

    def record_attempt(self, attempt: Attempt) -> None:
        """Add an attempt that is about to be submitted."""
        self.is_unavailable = False
        self.tried_endpoints.add(attempt.endpoint.name)
        self.open_attempts.append(attempt)
        if self.first_sent_at_ms is None:
            self.first_sent_at_ms = attempt.submitted_at_ms

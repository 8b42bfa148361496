"""What one shard of a fan-out has had and waits for."""

from dataclasses import dataclass, field

from radishmount.endpoints import Attempt, Purpose, SubReply
from radishmount.publication import Shard
from radishmount.queries._service_state import ServiceState


__all__ = ["ShardProgress"]

FIRST_PAUSE_MS = 10.0
MAX_PAUSE_MS = 160.0


@dataclass(slots=True, eq=False)
class ShardProgress:
    """One shard of a fan-out. `act_at_ms` is when to hedge, to move on or to try again."""

    shard: Shard
    service: ServiceState
    open_attempts: list[Attempt] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    act_at_ms: float = 0.0
    first_sent_at_ms: float | None = None
    hedged: bool = False
    held_back: bool = False
    pause_ms: float = FIRST_PAUSE_MS
    is_lost: bool = False
    reply: SubReply | None = None

    @property
    def next_purpose(self) -> Purpose:
        """Return why the next attempt would be made while none is open."""
        return Purpose.FIRST if self.first_sent_at_ms is None else Purpose.RETRY

    def next_pause_ms(self) -> float:
        """Return how long to wait before trying again; each pause is longer."""
        pause_ms = self.pause_ms
        self.pause_ms = min(MAX_PAUSE_MS, 2.0 * pause_ms)
        return pause_ms

    def opened(self, attempt: Attempt) -> None:
        """Take an attempt that is about to be handed over."""
        self.is_lost = False
        self.tried.add(attempt.endpoint.name)
        self.open_attempts.append(attempt)
        if self.first_sent_at_ms is None:
            self.first_sent_at_ms = attempt.submitted_at_ms

"""The requests of one kind that ask for room at the same services."""

from dataclasses import dataclass

from radishmount.endpoints import decay_weight


__all__ = ["Demand", "DemandKey", "RoomRequest"]

COUNT_HALF_LIFE_MS = 2_000.0
DEMAND_KEPT_MS = 5_000.0  # a kind of which nothing came for so long needs no room
REPLY_MARGIN_MS = 24.0  # for the way to the caller and back


@dataclass(slots=True)
class RoomRequest:
    """A request that asks for room at `services`, of which `allowed_missing` need not answer.

    A lower `priority` goes first. An answer within `target_ms` of the arrival is on time.
    """

    services: tuple[str, ...]
    allowed_missing: int
    priority: int
    target_ms: float
    deadline_at_ms: float


DemandKey = tuple[int, int, float]
"""The priority, the services that may be missing, and the target latency."""


@dataclass(slots=True)
class Demand:
    """The recent requests of one kind. Counts are kept while room is short, and fade with time."""

    priority: int
    allowed_missing: int
    target_ms: float
    seen_at_ms: float
    offered: float = 0.0
    admitted: float = 0.0
    counted_at_ms: float = 0.0

    def is_current(self, now_ms: float) -> bool:
        """Return whether requests of this kind came lately."""
        return now_ms - self.seen_at_ms < DEMAND_KEPT_MS

    def wait_limit_ms(self, unloaded_ms: float) -> float:
        """Return how long a request may wait for a slot and be on time.

        A target that is as short as the work itself leaves no time to wait. Then a wait of one more
        request is allowed, as a target that is never met is no reason to refuse.
        """
        return max(unloaded_ms, self.target_ms - REPLY_MARGIN_MS - unloaded_ms)

    def count(self, *, admitted: bool, now_ms: float) -> None:
        """Count one request."""
        self.fade(now_ms)
        self.offered += 1.0
        self.admitted += admitted

    def fade(self, now_ms: float) -> None:
        """Reduce the counts by the time that has passed since the last call."""
        weight = decay_weight(now_ms - self.counted_at_ms, COUNT_HALF_LIFE_MS)
        self.offered *= weight
        self.admitted *= weight
        self.counted_at_ms = now_ms

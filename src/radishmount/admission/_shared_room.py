"""The room at a set of services that requests go to, and the kinds of requests that compete."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

from radishmount.admission._demand import Demand, DemandKey, RoomRequest


__all__ = ["SharedRoom"]


@dataclass(slots=True, eq=False)
class SharedRoom:
    """The room for requests that go to all of `services`.

    `waits` has the services with a wait, the longest first. `unloaded_ms` is the longest time that
    a request takes at one of them without a wait, and `full_wait_ms` the shortest wait at which one
    of them sheds. `competitors` are the sets that have services in common with this one, and this
    one itself.
    """

    services: tuple[str, ...]
    service_names: frozenset[str]
    waits: list[tuple[float, str]] = field(default_factory=list)
    unloaded_ms: float = 0.0
    full_wait_ms: float = inf
    evaluated_at_ms: float = -inf
    admitted_since_evaluation: int = 0
    demands_by_key: dict[DemandKey, Demand] = field(default_factory=dict)
    competitors: list["SharedRoom"] = field(default_factory=list)
    used_at_ms: float = -inf
    short_since_ms: float | None = None
    refused_at_ms: float = -inf
    refused_count: int = 0

    def demand_for(self, request: RoomRequest, now_ms: float) -> Demand:
        """Return the demand that a request belongs to, which is seen now."""
        key = (request.priority, request.allowed_missing, request.target_ms)
        demand = self.demands_by_key.get(key)
        if demand is None:
            demand = self.demands_by_key[key] = Demand(*key, seen_at_ms=now_ms)
        demand.seen_at_ms = now_ms
        return demand

    def wait_for(self, demand: Demand) -> tuple[float, str]:
        """Return the wait at the fullest service that an answer needs, and which one that is.

        A service that no endpoint can be used for is no matter of room.
        """
        if demand.allowed_missing >= len(self.waits):
            return (0.0, "")
        wait = self.waits[demand.allowed_missing]
        return (0.0, wait[1]) if wait[0] == inf else wait

    def wait_caused_by(self, other: "SharedRoom", demand: Demand) -> tuple[float, str]:
        """Return the wait for `demand` of this set, as far as requests to `other` lengthen it."""
        needed = self.wait_for(demand)
        if other is self:
            return needed
        shared = [wait for wait in other.waits if wait[1] in self.service_names]
        return min(needed, shared[0]) if shared else (0.0, "")

    def wait_limit_ms(self, demand: Demand) -> float:
        """Return how long requests of a demand may wait here before they are late or shed."""
        return min(demand.wait_limit_ms(self.unloaded_ms), self.full_wait_ms)

    def competing_demands(self, now_ms: float) -> Iterator[tuple["SharedRoom", Demand]]:
        """Yield the current demands for services of this set, its own included."""
        for room in self.competitors:
            for demand in room.demands_by_key.values():
                if demand.is_current(now_ms):
                    yield (room, demand)

"""The requests that a cold endpoint gets, divided among the instances without coordination."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from radishmount.rendezvous import weight


__all__ = ["ColdRate", "ColdRateSettings", "KnownInstances", "cold_slots", "total_cold_slots"]

WINDOW_MS = 1_050.0  # the bound holds in any second; clocks of two machines differ a little in pace
TOTAL_RATIO = 0.9  # instances that have just joined are not known to all others
KEPT_MS = 7_200_000.0  # parts of a fleet may lose each other for an hour
# A process that has just started does not know what it sent before, nor all other instances.
LEARNING_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class ColdRateSettings:
    """How far the rate of a cold endpoint may be exceeded: `ratio` times the rate, plus `slack`."""

    ratio: float = 1.0
    slack: float = 0.0


@dataclass(slots=True)
class KnownInstances:
    """The instances that may send to cold endpoints, reachable or not.

    A name stays known for `KEPT_MS` after it was last listed. So when the fleet parts, neither part
    takes over the shares of the other. `has_seeds` is set where other instances are to be expected.
    `version` grows with each change.
    """

    own_name: str
    started_at_ms: float
    has_seeds: bool = False
    listed_names: frozenset[str] = frozenset()
    listed_at_ms_by_name: dict[str, float] = field(default_factory=dict)
    version: int = 0

    def apply_list(self, names: Iterable[str], now_ms: float) -> None:
        """Record that instances are listed, and forget those that have not been for long.

        Those of the list before were listed until now, however long ago that came.
        """
        count = len(self.listed_at_ms_by_name)
        before, self.listed_names = self.listed_names, frozenset([*names, self.own_name])
        self.listed_at_ms_by_name |= dict.fromkeys(before | self.listed_names, now_ms)
        self.version += len(self.listed_at_ms_by_name) - count
        for name, at_ms in list(self.listed_at_ms_by_name.items()):
            if now_ms - at_ms > KEPT_MS:
                del self.listed_at_ms_by_name[name]
                self.version += 1

    def is_complete(self, now_ms: float) -> bool:
        """Return whether this process knows the instances, as far as it can tell."""
        if self.has_seeds and len(self.listed_at_ms_by_name) < 2:
            return False
        return now_ms - self.started_at_ms >= LEARNING_MS


def total_cold_slots(rate_per_s: float, settings: ColdRateSettings) -> int:
    """Return how many requests a second all instances together may send a cold endpoint."""
    bound = rate_per_s * settings.ratio + settings.slack
    return max(int(TOTAL_RATIO * bound), min(1, int(bound)))


def cold_slots(endpoint: str, own_name: str, names: Iterable[str], total: int) -> int:
    """Return the share of this instance in `total`, a whole number.

    What is left over goes to the instances that rank first for the endpoint, one for each. Where
    there are more instances than `total`, the others have none:

        assert sum(cold_slots("s-a", name, "abc", 2) for name in "abc") == 2
    """
    others = {*names} - {own_name}
    own_weight = weight(endpoint, own_name)
    each, left_over = divmod(total, len(others) + 1)
    if not left_over:
        return each
    ahead = sum((weight(endpoint, name), name) > (own_weight, own_name) for name in others)
    return each + (ahead < left_over)


@dataclass(slots=True)
class ColdRate:
    """What this instance may send one endpoint while it is cold.

    Each request takes one of the instance's slots from its choice until `WINDOW_MS` after its end.
    So no second has more arrivals than there are slots, however long requests are on their way.
    Requests are counted at all times, as the endpoint may turn cold at any moment.
    """

    endpoint: str
    total: int
    instances: KnownInstances
    cold_until_ms: float = float("-inf")
    ended_at_ms: deque[float] = field(default_factory=deque)
    slots_of_version: tuple[int, int, int] = (-1, 0, 0)

    def extend(self, until_ms: float) -> bool:
        """Take the endpoint as cold until a time, or later; return whether that is news."""
        is_news = until_ms > self.cold_until_ms
        self.cold_until_ms = max(self.cold_until_ms, until_ms)
        return is_news

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the endpoint is cold, as far as is known."""
        return now_ms < self.cold_until_ms

    def record_end(self, now_ms: float) -> None:
        """Record the end of a request that was sent."""
        self._forget_old(now_ms)
        self.ended_at_ms.append(now_ms)

    def slots(self, now_ms: float) -> int:
        """Return how many requests this instance may have in its slots."""
        if not self.instances.is_complete(now_ms):
            return 0
        version, total, slots = self.slots_of_version
        if (version, total) != (self.instances.version, self.total):
            names = self.instances.listed_at_ms_by_name
            slots = cold_slots(self.endpoint, self.instances.own_name, names, self.total)
            self.slots_of_version = (self.instances.version, self.total, slots)
        return slots

    def is_full(self, in_flight: int, now_ms: float) -> bool:
        """Return whether the endpoint is cold and may get no more from here at present."""
        if not self.is_cold(now_ms):
            return False
        self._forget_old(now_ms)
        return in_flight + len(self.ended_at_ms) >= self.slots(now_ms)

    def excess(self, in_flight: int, now_ms: float) -> int:
        """Return how many requests in flight have no slot, as they came while it was warm."""
        if not self.is_cold(now_ms):
            return 0
        self._forget_old(now_ms)
        return max(0, in_flight + len(self.ended_at_ms) - self.slots(now_ms))

    def wait_ms(self, in_flight: int, now_ms: float) -> float:
        """Return in which time a full endpoint may get one more request from here."""
        until_warm_ms = max(0.0, self.cold_until_ms - now_ms)
        learned_in_ms = self.instances.started_at_ms + LEARNING_MS - now_ms
        if learned_in_ms > 0.0:
            return min(until_warm_ms, learned_in_ms)
        slots = self.slots(now_ms)
        if not slots:
            return until_warm_ms
        is_next_known = self.ended_at_ms and in_flight + len(self.ended_at_ms) == slots
        next_ms = self.ended_at_ms[0] + WINDOW_MS - now_ms if is_next_known else WINDOW_MS
        return min(until_warm_ms, next_ms)

    def _forget_old(self, now_ms: float) -> None:
        while self.ended_at_ms and now_ms - self.ended_at_ms[0] >= WINDOW_MS:
            self.ended_at_ms.popleft()

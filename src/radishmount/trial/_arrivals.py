"""When calls arrive: at random times that do not wait for answers."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

from radishmount.trial._plan import LoadPlan


__all__ = ["Arrival", "arrivals_of"]


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call that is due at `at_ms` after the load began."""

    at_ms: float
    number: int
    load: LoadPlan


def arrivals_of(loads: Sequence[LoadPlan], duration_ms: float, seed: int) -> list[Arrival]:
    """Return the arrivals of all `loads` in order, the same ones for the same seed."""
    times: list[tuple[float, LoadPlan]] = []
    for load in loads:
        random = Random(f"{seed}/arrivals/{load.caller}/{load.target}")
        times.extend((at_ms, load) for at_ms in _times_of(load, duration_ms, random))
    times.sort(key=lambda pair: (pair[0], pair[1].caller))
    return [Arrival(at_ms, number, load) for number, (at_ms, load) in enumerate(times)]


def _times_of(load: LoadPlan, duration_ms: float, random: Random) -> Iterator[float]:
    until_ms = duration_ms if load.until_ms is None else min(load.until_ms, duration_ms)
    at_ms = load.from_ms
    while True:
        at_ms += random.expovariate(load.rate_per_s) * 1000.0
        if at_ms >= until_ms:
            return
        yield at_ms

"""The arrival times of calls: a Poisson process (open loop), independent of the responses."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

from radishmount.trial._plan import LoadPlan


__all__ = ["Arrival", "arrivals_of"]


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call of `load`, due at `at_ms` after the load began. `number` counts from 0."""

    at_ms: float
    number: int
    load: LoadPlan


def arrivals_of(loads: Sequence[LoadPlan], duration_ms: float, seed: int) -> list[Arrival]:
    """Return the arrivals of all `loads` in order of time; the same seed gives the same ones."""
    times: list[tuple[float, LoadPlan]] = []
    for load in loads:
        random = Random(f"{seed}/arrivals/{load.caller}/{load.target}")
        times.extend((at_ms, load) for at_ms in _arrival_times(load, duration_ms, random))
    times.sort(key=lambda pair: (pair[0], pair[1].caller))
    return [Arrival(at_ms, number, load) for number, (at_ms, load) in enumerate(times)]


def _arrival_times(load: LoadPlan, duration_ms: float, random: Random) -> Iterator[float]:
    until_ms = duration_ms if load.until_ms is None else min(load.until_ms, duration_ms)
    at_ms = load.from_ms
    while True:
        at_ms += random.expovariate(load.rate_per_s) * 1000.0
        if at_ms >= until_ms:
            return
        yield at_ms

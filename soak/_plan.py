"""The faults of one seed: what strikes, when, and for how long."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random


__all__ = ["Fault", "FaultKind", "plan_faults"]


class FaultKind(StrEnum):
    """What is done to the processes, their links, the endpoints and the store."""

    KILL = "kill"
    STOP = "stop"
    FREEZE = "freeze"
    RELOAD = "reload"
    BAD_SETTINGS = "bad settings"
    STORE_DOWN = "store down"
    STORE_CUT = "store cut off"
    STORE_SILENT = "store connections silent"
    STORE_SLOW = "store slow"
    STORE_FORGETS = "store forgets its history"
    ENDPOINT_KILLED = "endpoint killed"
    ENDPOINT_SLOW = "endpoint slow"
    ENDPOINT_LOSES = "endpoint loses answers"
    ENDPOINT_EXTRA = "endpoint answers twice"
    ENDPOINT_SHEDS = "endpoint sheds"
    ENDPOINT_CUT = "endpoint cut off"
    ENDPOINT_CUT_BACK = "answers of an endpoint cut off"
    ENDPOINT_SILENT = "endpoint connections silent"
    ENDPOINT_RESET = "endpoint connections reset"
    ENDPOINT_LEAVES = "endpoint leaves"
    CALLERS_RESET = "callers' connections reset"
    CALLERS_DELAYED = "callers' connections delayed"
    PUBLISH = "new version"
    RESHARD = "new shards"


MOST_AT_ONCE = 4  # faults that begin within one series
SERIES_GAP_S = (0.8, 2.5)
STEP_GAP_S = (0.0, 0.5)  # faults of a series overlap
LASTS_S = (0.3, 4.0)
REPEATED_SHARE = 0.25  # of the faults come again just after their end


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. `target` is a number that picks an instance or endpoint."""

    at_s: float
    kind: FaultKind
    target: int
    for_s: float


def plan_faults(random: Random, length_s: float) -> list[Fault]:
    """Return faults in series that overlap, for `length_s` seconds."""
    faults: list[Fault] = []
    at_s = 0.5
    while at_s < length_s:
        series_at_s = at_s
        for _ in range(random.randint(1, MOST_AT_ONCE)):
            kind = random.choice(list(FaultKind))
            fault = Fault(series_at_s, kind, random.randrange(1_000), random.uniform(*LASTS_S))
            faults.append(fault)
            if random.random() < REPEATED_SHARE:
                again_s = series_at_s + fault.for_s + random.uniform(*STEP_GAP_S)
                faults.append(Fault(again_s, kind, fault.target, random.uniform(*LASTS_S)))
            series_at_s += random.uniform(*STEP_GAP_S)
        at_s = series_at_s + random.uniform(*SERIES_GAP_S)
    return sorted((fault for fault in faults if fault.at_s < length_s), key=lambda f: f.at_s)

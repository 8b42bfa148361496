"""The schedule of faults of one seed: their kinds, times and durations."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random


__all__ = ["Fault", "FaultKind", "plan_faults"]


class FaultKind(StrEnum):
    """The kinds of faults of processes, network links, endpoints and the store.

    Some are ordinary operations that faults overlap with, such as `PUBLISH` and `RELOAD`.
    """

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
    STORE_RESTORED = "store comes back from an older copy"
    STORE_RESTORED_UNTOLD = "store comes back from an older copy in the same era"
    STORE_MOVED = "store gets a new address"
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
    ENDPOINT_ENDLESS = "endpoint answers without end"
    CALLERS_RESET = "callers' connections reset"
    CALLERS_DELAYED = "callers' connections delayed"
    PUBLISH = "new version"
    RESHARD = "new shards"


# Drawn after the series, so that the series of a seed stay as they were before these kinds came.
LATER_KINDS = (
    FaultKind.ENDPOINT_ENDLESS,
    FaultKind.STORE_RESTORED,
    FaultKind.STORE_RESTORED_UNTOLD,
    FaultKind.STORE_MOVED,
)
SERIES_KINDS = [kind for kind in FaultKind if kind not in LATER_KINDS]
LATER_PROBABILITY = 0.5  # of each later kind in a schedule
MAX_FAULTS_PER_SERIES = 4  # not counting repeated ones
SERIES_GAP_S = (0.8, 2.5)
FAULT_GAP_S = (0.0, 0.5)  # shorter than most faults, so that they overlap
DURATION_RANGE_S = (0.3, 4.0)
REPEAT_PROBABILITY = 0.25  # that a fault is repeated just after its end


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. `target` is a random number that selects the instance or endpoint.

    `at_s` counts from the start of the schedule.
    """

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float


def plan_faults(random: Random, length_s: float) -> list[Fault]:
    """Return a schedule of `length_s` seconds: series of overlapping faults, ordered by time."""
    faults: list[Fault] = []
    at_s = 0.5
    while at_s < length_s:
        series_at_s = at_s
        for _ in range(random.randint(1, MAX_FAULTS_PER_SERIES)):
            kind = random.choice(SERIES_KINDS)
            fault = Fault(
                series_at_s, kind, random.randrange(1_000), random.uniform(*DURATION_RANGE_S)
            )
            faults.append(fault)
            if random.random() < REPEAT_PROBABILITY:
                again_s = series_at_s + fault.duration_s + random.uniform(*FAULT_GAP_S)
                faults.append(Fault(again_s, kind, fault.target, random.uniform(*DURATION_RANGE_S)))
            series_at_s += random.uniform(*FAULT_GAP_S)
        at_s = series_at_s + random.uniform(*SERIES_GAP_S)
    for kind in LATER_KINDS:
        if random.random() < LATER_PROBABILITY:
            fault_at_s, target = random.uniform(0.5, length_s), random.randrange(1_000)
            faults.append(Fault(fault_at_s, kind, target, random.uniform(*DURATION_RANGE_S)))
    return sorted((fault for fault in faults if fault.at_s < length_s), key=lambda f: f.at_s)

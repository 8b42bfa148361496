"""The processor time of the lines for forwarded requests, with and without them.

python benchmarks/log_cost.py
"""

import time
from collections.abc import Mapping
from random import Random
from typing import Any

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.counters import Counters
from radishmount.forwarding import ForwardAttempt, ForwardRecord, ForwardVerdict
from radishmount.logs import RequestLog
from radishmount.programs import log_line, set_up_logging


SECONDS = 60
PARTS = 10
REFUSAL = Refusal(Code.TIMED_OUT, "catalogue-3", RunStatus.UNKNOWN)
# The share of each verdict: a calm day, and a day on which most requests fail.
CALM = {"answered": 0.05, "repeated": 0.08, "partial": 0.01, "late": 0.01}
FAILING = {"failed": 0.6, "refused": 0.2, "partial": 0.1, "late": 0.1}


def record(verdict: str, number: int) -> ForwardRecord:
    """Return the record of a request to ten parts, one of which was asked for twice."""
    attempts = tuple(
        ForwardAttempt("s", f"i-{n}", "hedge" if n == PARTS else "first", 0.1, 0.3, 20.0, "OK")
        for n in range(PARTS + 1)
    )
    is_refused = verdict in ("failed", "refused")
    return ForwardRecord(
        f"{number:016x}",
        "r-1",
        ForwardVerdict(verdict),
        30.0,
        990.0,
        PARTS,
        (),
        attempts,
        3,
        100.0,
        REFUSAL if is_refused else None,
    )


def measure(shares: Mapping[str, float], per_s: int, *, on: bool) -> tuple[float, float]:
    """Return milliseconds of processor time and lines, both for each second of the day."""
    random, now_ms, lines = Random(1), 0.0, 0
    output = set_up_logging("entry-1")
    output.write = len

    def emit(change: str, fields: Mapping[str, Any]) -> None:
        nonlocal lines
        lines += 1
        log_line(change, fields)

    clock = Clock(now_ms=lambda: now_ms, wall_ms=lambda: now_ms)
    log = RequestLog(clock, Counters(), emit)
    verdicts, weights = [*shares, None], [*shares.values(), 1.0 - sum(shares.values())]
    drawn = random.choices(verdicts, weights, k=SECONDS * per_s)
    records = [verdict and record(verdict, n) for n, verdict in enumerate(drawn)]
    began_s = time.process_time()
    for entry in records:
        now_ms += 1_000.0 / per_s
        if entry is None or not on:
            continue
        log.write(entry)
        output.flush()
    return (time.process_time() - began_s) * 1_000.0 / SECONDS, lines / SECONDS


def main() -> None:
    """Print a row for each day and load."""
    for name, shares in (("calm", CALM), ("failing", FAILING)):
        for per_s in (40, 80, 400):
            (on_ms, lines), (off_ms, _) = (measure(shares, per_s, on=on) for on in (True, False))
            print(f"{name:8} {per_s:4}/s: {on_ms - off_ms:6.2f} ms/s, {lines:5.1f} lines/s")


if __name__ == "__main__":
    main()

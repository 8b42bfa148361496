"""CPU time spent on the log lines of forwarded requests.

    python benchmarks/log_cost.py

Each case is run with and without writing the lines; the difference is what they cost.
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


SIMULATED_S = 60
PARTS = 10
REFUSAL = Refusal(Code.TIMED_OUT, "catalogue-3", RunStatus.UNKNOWN)
# Ratio of requests that end with each verdict; the remaining requests write no line.
LOW_FAILURE_RATIOS = {"answered": 0.05, "repeated": 0.08, "partial": 0.01, "late": 0.01}
HIGH_FAILURE_RATIOS = {"failed": 0.6, "refused": 0.2, "partial": 0.1, "late": 0.1}


def make_record(verdict: str, sequence: int) -> ForwardRecord:
    """Return the record of a request to `PARTS` parts, one of which was hedged."""
    attempts = tuple(
        ForwardAttempt("s", f"i-{n}", "hedge" if n == PARTS else "first", 0.1, 0.3, 20.0, "OK")
        for n in range(PARTS + 1)
    )
    is_refused = verdict in ("failed", "refused")
    return ForwardRecord(
        f"{sequence:016x}",
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


def measure(
    ratios: Mapping[str, float], rate_per_s: int, *, write_lines: bool
) -> tuple[float, float]:
    """Return the CPU time in milliseconds and the lines written, per simulated second."""
    random, now_ms, lines = Random(1), 0.0, 0
    output = set_up_logging("entry-1")
    output.write = len

    def emit(change: str, fields: Mapping[str, Any]) -> None:
        nonlocal lines
        lines += 1
        log_line(change, fields)

    clock = Clock(now_ms=lambda: now_ms, wall_ms=lambda: now_ms)
    log = RequestLog(clock, Counters(), emit)
    verdicts, weights = [*ratios, None], [*ratios.values(), 1.0 - sum(ratios.values())]
    drawn_verdicts = random.choices(verdicts, weights, k=SIMULATED_S * rate_per_s)
    records = [verdict and make_record(verdict, n) for n, verdict in enumerate(drawn_verdicts)]
    started_s = time.process_time()
    for record in records:
        now_ms += 1_000.0 / rate_per_s
        if record is None or not write_lines:
            continue
        log.write(record)
        output.flush()
    return (time.process_time() - started_s) * 1_000.0 / SIMULATED_S, lines / SIMULATED_S


def main() -> None:
    """Print a row for each failure ratio and request rate."""
    for name, ratios in (("calm", LOW_FAILURE_RATIOS), ("failing", HIGH_FAILURE_RATIOS)):
        for rate in (40, 80, 400):
            (with_ms, lines), (without_ms, _) = (
                measure(ratios, rate, write_lines=write_lines) for write_lines in (True, False)
            )
            print(f"{name:8} {rate:4}/s: {with_ms - without_ms:6.2f} ms/s, {lines:5.1f} lines/s")


if __name__ == "__main__":
    main()

"""`python -m soak` runs seeds one after another and keeps the logs of those that fail."""

import argparse
import asyncio
import shutil
import signal
import sys
import tempfile
from pathlib import Path

from soak._run import RunConfig, run_seed


__all__ = ["main"]


def main() -> int:
    """Run the requested seeds; return 1 if any of them broke a promise, otherwise 0."""
    config = RunConfig()
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--instances", type=int, default=config.instances)
    parser.add_argument("--callers", type=int, default=config.callers)
    parser.add_argument(
        "--seconds", type=float, default=config.faults_s, help="how long faults go on"
    )
    parser.add_argument("--keep", type=Path, help="folder for the logs of failed seeds")
    parser.add_argument("--timeless", action="store_true", help="skip checks with time limits")
    options = parser.parse_args()
    config = RunConfig(options.instances, options.callers, options.seconds, options.timeless)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # stop all processes, as ^C does
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations = asyncio.run(run_seed(seed, config, folder))
        failed += bool(violations)
        _print_result(seed, violations)
        if violations and options.keep is not None:
            shutil.copytree(folder, options.keep / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(folder)
    sys.stdout.write(f"{options.seeds - failed} passed, {failed} failed\n")
    return 1 if failed else 0


def _print_result(seed: int, violations: dict[str, list[str]]) -> None:
    sys.stdout.write(f"seed {seed}: {'kept' if not violations else 'BROKEN'}\n")
    for name, cases in violations.items():
        sys.stdout.write(f"  {name}: {len(cases)}\n")
        sys.stdout.writelines(f"    {case}\n" for case in cases[:5])
    sys.stdout.flush()


if __name__ == "__main__":
    raise SystemExit(main())

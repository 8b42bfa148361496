"""`python -m soak` runs seeds one after the other and keeps the logs of those that fail."""

import argparse
import asyncio
import shutil
import signal
import sys
import tempfile
from pathlib import Path

from soak._run import RunShape, run_seed


__all__ = ["main"]


def main() -> int:
    """Run the seeds that are asked for; return 1 if a promise was broken in any of them."""
    shape = RunShape()
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--instances", type=int, default=shape.instances)
    parser.add_argument("--callers", type=int, default=shape.callers)
    parser.add_argument("--seconds", type=float, default=shape.faults_s, help="of faults")
    parser.add_argument("--keep", type=Path, help="where the logs of failed seeds are kept")
    parser.add_argument("--timeless", action="store_true", help="check nothing that has a time")
    asked = parser.parse_args()
    shape = RunShape(asked.instances, asked.callers, asked.seconds, asked.timeless)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends what was started, as ^C does
    failed = 0
    for seed in range(asked.first, asked.first + asked.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        broken = asyncio.run(run_seed(seed, shape, folder))
        failed += bool(broken)
        _tell(seed, broken)
        if broken and asked.keep is not None:
            shutil.copytree(folder, asked.keep / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(folder)
    sys.stdout.write(f"{asked.seeds - failed} passed, {failed} failed\n")
    return 1 if failed else 0


def _tell(seed: int, broken: dict[str, list[str]]) -> None:
    sys.stdout.write(f"seed {seed}: {'kept' if not broken else 'BROKEN'}\n")
    for name, cases in broken.items():
        sys.stdout.write(f"  {name}: {len(cases)}\n")
        sys.stdout.writelines(f"    {case}\n" for case in cases[:5])
    sys.stdout.flush()


if __name__ == "__main__":
    raise SystemExit(main())

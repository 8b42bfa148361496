"""One short seeded run of the soak, with real processes; it checks nothing that has a time."""

import subprocess
import sys
from pathlib import Path


ROOT = Path(__file__).resolve().parents[2]
SEED = 1  # its faults are a kill, resets, lost answers and a new version


class TestShortRun:
    """The soak itself goes on working, and no promise without a time is broken."""

    def test_no_promise_is_broken(self) -> None:
        command = [sys.executable, "-m", "soak", "--first", str(SEED), "--timeless"]
        sized = ["--instances", "3", "--callers", "3", "--seconds", "4"]

        ended = subprocess.run([*command, *sized], cwd=ROOT, capture_output=True, text=True)

        assert ended.stdout.endswith("1 passed, 0 failed\n"), ended.stdout + ended.stderr

"""One short seeded run of the soak with real processes, without the checks of time limits."""

import subprocess
import sys
from pathlib import Path


ROOT = Path(__file__).resolve().parents[2]
SEED = 1  # draws a kill, resets, lost answers and a new version


class TestShortRun:
    """The soak itself runs, and no promise without a time limit is broken."""

    def test_no_promise_is_broken(self) -> None:
        command = [sys.executable, "-m", "soak", "--first", str(SEED), "--timeless"]
        options = ["--instances", "3", "--callers", "3", "--seconds", "4"]

        process = subprocess.run([*command, *options], cwd=ROOT, capture_output=True, text=True)

        assert process.stdout.endswith("1 passed, 0 failed\n"), process.stdout + process.stderr

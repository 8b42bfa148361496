"""Tests of the script that starts an instance, with a program of the test's own."""

import shutil
import subprocess
import sys
from pathlib import Path


SCRIPT = Path(__file__).resolve().parents[2] / "deploy" / "instance.py"


def run_with(program: str, folder: Path) -> subprocess.CompletedProcess[str]:
    """Run the script with `program` as the module that it starts."""
    package = folder / "src" / "radishmount"
    package.mkdir(parents=True)
    (package / "__init__.py").touch()
    (package / "platform.py").write_text(program)
    (folder / "deploy").mkdir()
    shutil.copy(SCRIPT, folder / "deploy")
    command = [sys.executable, str(folder / "deploy" / "instance.py")]
    return subprocess.run(command, capture_output=True, text=True)


class TestSignalsDuringTheStart:
    """Signals that come while the program is being imported do no harm."""

    def test_a_reload_is_passed_over(self, tmp_path: Path) -> None:
        program = (
            "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\nmain = lambda: print('on')"
        )

        ended = run_with(program, tmp_path)

        assert (ended.returncode, ended.stdout) == (0, "on\n")

    def test_a_stop_ends_it_at_once_and_well(self, tmp_path: Path) -> None:
        program = (
            "import os, signal\nos.kill(os.getpid(), signal.SIGTERM)\nmain = lambda: print('on')"
        )

        ended = run_with(program, tmp_path)

        assert (ended.returncode, ended.stdout) == (0, "")

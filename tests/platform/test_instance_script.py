"""Tests of the script that starts an instance, with a substitute for the program."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest


SCRIPT = Path(__file__).resolve().parents[2] / "deploy" / "instance.py"


def run_with(program: str, folder: Path) -> subprocess.CompletedProcess[str]:
    """Run a copy of the script in `folder`, with `program` as the source of the module it runs."""
    package = folder / "src" / "radishmount"
    package.mkdir(parents=True)
    (package / "__init__.py").touch()
    (package / "platform.py").write_text(program)
    (folder / "deploy").mkdir()
    shutil.copy(SCRIPT, folder / "deploy")
    command = [sys.executable, str(folder / "deploy" / "instance.py")]
    return subprocess.run(command, capture_output=True, text=True)


class TestSignalsDuringTheStart:
    """Signals that arrive while the program is being imported are handled."""

    def test_a_reload_signal_is_ignored(self, tmp_path: Path) -> None:
        program = (
            "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\nmain = lambda: print('on')"
        )

        ended = run_with(program, tmp_path)

        assert (ended.returncode, ended.stdout) == (0, "on\n")

    def test_a_stop_signal_exits_at_once_with_status_zero(self, tmp_path: Path) -> None:
        program = (
            "import os, signal\nos.kill(os.getpid(), signal.SIGTERM)\nmain = lambda: print('on')"
        )

        ended = run_with(program, tmp_path)

        assert (ended.returncode, ended.stdout) == (0, "")


class TestSignalsAtTheEnd:
    """Signals that arrive while the interpreter exits change nothing."""

    @pytest.mark.parametrize("name", ["SIGTERM", "SIGINT", "SIGHUP"])
    def test_the_exit_status_stays_zero(self, name: str) -> None:
        """Guards against a stop in good order that counts as a process ended by a signal."""
        program = (
            "import asyncio, os, signal\n"
            "from radishmount.platform._program import ignore_signals\n"
            "async def main():\n"
            "    loop = asyncio.get_running_loop()\n"
            f"    loop.add_signal_handler(signal.{name}, print)\n"
            "    ignore_signals(loop)\n"
            "asyncio.run(main())\n"
            f"os.kill(os.getpid(), signal.{name})\n"
        )

        ended = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True)

        assert (ended.returncode, ended.stderr) == (0, "")

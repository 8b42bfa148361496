"""`radishmount-trial`: runs load and faults against a fleet over stand-ins, and a baseline."""

import asyncio
import json
import sys
from collections.abc import Sequence
from dataclasses import fields, replace
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok

from radishmount.policy import QueryPolicy
from radishmount.programs._application import Exit, print_error_line, print_line, run_program
from radishmount.programs._trial_processes import drive_processes, serve_standins
from radishmount.programs._trial_run import run_trial
from radishmount.standins import read_trial_file
from radishmount.trial import CallRecord, Summary, TrialPlan, report_page, result_of, result_text


__all__ = ["main"]

PROGRAM = "radishmount-trial"
REPORT_FILE = "index.html"
# Each entry runs on its own thread. The default interval of 5 ms would let one thread that holds
# the interpreter lock delay the others by that much.
THREAD_SWITCH_INTERVAL_S = 0.0005
MECHANISMS = frozenset(item.name for item in fields(QueryPolicy))

FILE_ARGUMENT = argument("file", "The trial file, JSON with comments.")
SEED_OPTION = option("seed", None, "Overrides the seed in the file.", flag=False)
JSON_OPTION = option("json", None, "Prints one JSON object.")
SETTINGS_DIR_OPTION = option(
    "settings-dir", None, "Where the settings of the entries are.", flag=False
)


class TrialCommand(Command):
    """Base class of the commands: reads the trial file and prints the result."""

    def read_plan(self) -> TrialPlan | None:
        """Return the plan, or print the error and return None."""
        match read_trial_file(Path(self.argument("file"))):
            case Err(refusal):
                print_error_line(self, str(refusal))
                return None
            case Ok(plan):
                pass
        return self._with_seed(plan)

    def _with_seed(self, plan: TrialPlan) -> TrialPlan | None:
        seed = self.option("seed")
        if seed is None:
            return plan
        if not seed.isdecimal():
            print_error_line(self, f"--seed takes a whole number, not {seed!r}")
            return None
        return replace(plan, seed=int(seed))

    def print_result(self, summary: Summary) -> int:
        """Print the result and return the exit code: OK if every bound was met, else REFUSED."""
        if self.option("json"):
            print_line(self, json.dumps(result_of(summary)))
        else:
            print_line(self, result_text(summary))
        return Exit.OK if summary.bounds_met else Exit.REFUSED


class RunCommand(TrialCommand):
    """Runs the whole trial in this process."""

    name = PROGRAM
    description = "Runs the fleet and the baseline under the same load and faults."
    arguments = [FILE_ARGUMENT]
    options = [
        SEED_OPTION,
        JSON_OPTION,
        option("report", None, "Writes an HTML report into this folder.", flag=False),
        option("without", None, "Disables mechanisms, for example hedging,ejection.", flag=False),
    ]

    def handle(self) -> int:
        """Run the trial and print its result."""
        plan = self.read_plan()
        if plan is None:
            return Exit.BAD_USAGE
        disabled = [name for name in (self.option("without") or "").split(",") if name]
        unknown = set(disabled) - MECHANISMS
        if unknown:
            known = ", ".join(sorted(MECHANISMS))
            print_error_line(
                self, f"--without: unknown {', '.join(sorted(unknown))}; expected some of {known}"
            )
            return Exit.BAD_USAGE
        plan = replace(plan, policy={**plan.policy, **dict.fromkeys(disabled, False)})
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        outcome = asyncio.run(run_trial(plan))
        if self.option("report"):
            _write_report(
                Path(self.option("report")),
                outcome.summary,
                outcome.calls,
                outcome.baseline_calls,
            )
        return self.print_result(outcome.summary)


class StandInsCommand(TrialCommand):
    """Serves the stand-ins in this process, for entries that run in processes of their own."""

    name = "standins"
    description = "Serves the stand-ins of a trial file, and writes the settings of its entries."
    arguments = [FILE_ARGUMENT]
    options = [SEED_OPTION, SETTINGS_DIR_OPTION]

    def handle(self) -> int:
        """Serve until SIGTERM or SIGINT."""
        plan, folder = self.read_plan(), self.option("settings-dir")
        if plan is None:
            return Exit.BAD_USAGE
        if not folder:
            print_error_line(self, "standins needs --settings-dir DIR")
            return Exit.BAD_USAGE
        asyncio.run(serve_standins(plan, Path(folder)))
        return Exit.OK


class DriveCommand(TrialCommand):
    """Drives the load against entries that run in processes of their own."""

    name = "drive"
    description = "Drives the load of a trial file against entries that are already running."
    arguments = [FILE_ARGUMENT]
    options = [SEED_OPTION, JSON_OPTION, SETTINGS_DIR_OPTION]

    def handle(self) -> int:
        """Drive the load and print the result."""
        plan, folder = self.read_plan(), self.option("settings-dir")
        if plan is None:
            return Exit.BAD_USAGE
        if not folder:
            print_error_line(self, "drive needs --settings-dir DIR")
            return Exit.BAD_USAGE
        match asyncio.run(drive_processes(plan, Path(folder))):
            case Err(refusal):
                print_error_line(self, str(refusal))
                return Exit.UNREACHABLE
            case Ok(summary):
                return self.print_result(summary)


def _write_report(
    folder: Path,
    summary: Summary,
    calls: Sequence[CallRecord],
    baseline_calls: Sequence[CallRecord],
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    page = report_page(summary, calls, baseline_calls)
    (folder / REPORT_FILE).write_text(page, encoding="utf-8")


def main() -> None:
    """Run the program."""
    raise SystemExit(run_program(PROGRAM, [RunCommand(), StandInsCommand(), DriveCommand()]))

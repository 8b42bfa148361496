"""`radishmount-trial`: load and faults on a fleet over small stand-ins, beside a baseline."""

import asyncio
import json
import sys
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argv_input import ArgvInput
from result import Err, Ok

from radishmount import __version__
from radishmount.programs._trial_run import TrialOutcome, run_trial
from radishmount.standins import read_trial_file
from radishmount.trial import TrialPlan, result_of, result_text


__all__ = ["main"]

EXIT_BOUND_MISSED = 1
EXIT_BAD_FILE = 2
SWITCH_INTERVAL_S = 0.0005
OWN_WORDS = frozenset({"run", "list", "help", "--help", "-h", "--version", "-V"})


class RunCommand(Command):
    """Runs a trial file within this process."""

    name = "run"
    description = "Runs a trial: the fleet and the baseline under the same load and faults."
    arguments = [argument("file", "The trial file, JSON with comments.")]
    options = [
        option("seed", None, "Takes the place of the seed in the file.", flag=False),
        option("json", None, "Prints one JSON object."),
        option("report", None, "Writes an HTML page into this folder.", flag=False),
    ]

    def handle(self) -> int:
        """Run the trial and print its result."""
        match read_trial_file(Path(self.argument("file"))):
            case Err(refusal):
                self.line_error(str(refusal))
                return EXIT_BAD_FILE
            case Ok(plan):
                pass
        seed = self.option("seed")
        if seed is not None:
            if not seed.isdecimal():
                self.line_error(f"--seed takes a whole number, not {seed!r}")
                return EXIT_BAD_FILE
            plan = replace(plan, seed=int(seed))
        outcome = _run(plan)
        if self.option("json"):
            print(json.dumps(result_of(outcome.summary())))
        else:
            print(result_text(outcome.summary()))
        return 0 if outcome.bounds_met else EXIT_BOUND_MISSED


def _run(plan: TrialPlan) -> TrialOutcome:
    # Entries run on threads of their own: short turns keep one from holding up the others.
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    return asyncio.run(run_trial(plan))


def main() -> None:
    """Run the program; a trial file in the place of a command is run."""
    application = Application("radishmount-trial", __version__)
    application.add(RunCommand())
    application.run(ArgvInput(_with_command(sys.argv)))


def _with_command(argv: Sequence[str]) -> list[str]:
    if len(argv) < 2 or argv[1] in OWN_WORDS:
        return list(argv)
    return [argv[0], "run", *argv[1:]]

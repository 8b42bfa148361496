"""Runs a console script as a cleo application: exit codes, output and one-line errors."""

import sys
from collections.abc import Sequence
from enum import IntEnum

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.output import Type

from radishmount import __version__
from radishmount.codes import Code, Refusal


__all__ = ["Exit", "print_line", "run_program", "print_error_line"]


class Exit(IntEnum):
    """The exit codes of all programs."""

    OK = 0
    REFUSED = 1
    BAD_USAGE = 2
    UNREACHABLE = 3
    PARTIAL = 4
    OUTCOME_UNKNOWN = 5
    INTERNAL = 70


def print_line(command: Command, text: str) -> None:
    """Write a line to standard output verbatim, without interpreting cleo's style tags."""
    command.io.output.write_line(text, type=Type.RAW)


def print_error_line(command: Command, text: str) -> None:
    """Write a line to standard error verbatim."""
    command.io.error_output.write_line(text, type=Type.RAW)


def run_program(name: str, commands: Sequence[Command], argv: Sequence[str] | None = None) -> int:
    """Run one of `commands` with `argv` (by default `sys.argv[1:]`) and return the exit code.

    A command with the name of the program is the default: it runs when `argv` does not begin with
    a command's name, so `radishmount-check DIR` needs no subcommand. Usage errors and uncaught
    exceptions are each reported on one line of standard error.

        raise SystemExit(run_program("radishmount-check", [CheckCommand()]))
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    application = Application(name, __version__)
    application.set_display_name(name)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in commands:
        application.add(command)
    names = {command.name for command in commands}
    if name in names and not (arguments and arguments[0] in names):
        arguments.insert(0, name)
    try:
        return application.run(ArgvInput([name, *arguments]))
    except CleoError as error:
        sys.stderr.write(f"{name}: {error}\nSee {name} --help.\n")
        return Exit.BAD_USAGE
    except Exception as error:
        refusal = Refusal(Code.INTERNAL, detail=f"{type(error).__name__}: {error}")
        sys.stderr.write(f"{name}: {refusal}\n")
        return Exit.INTERNAL

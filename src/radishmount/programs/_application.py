"""What all programs share: a cleo application, exit codes, and errors on one line."""

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


__all__ = ["Exit", "run_program", "tell", "tell_error"]


class Exit(IntEnum):
    """The exit codes of all programs."""

    OK = 0
    REFUSED = 1
    BAD_USAGE = 2
    UNREACHABLE = 3
    PARTIAL = 4
    OUTCOME_UNKNOWN = 5
    INTERNAL = 70


def tell(command: Command, text: str) -> None:
    """Write a line to standard output as it is, without the tags that cleo reads in texts."""
    command.io.output.write_line(text, type=Type.RAW)


def tell_error(command: Command, text: str) -> None:
    """Write a line to standard error as it is."""
    command.io.error_output.write_line(text, type=Type.RAW)


def run_program(name: str, commands: Sequence[Command], argv: Sequence[str] | None = None) -> int:
    """Run one of `commands` on `argv`, by default that of the process, and return the exit code.

    A command that has the name of the program runs when `argv` names no other one, so that
    `radishmount-check DIR` needs no word before the folder. Wrong arguments are told on one line of
    standard error, as is an error that nothing else has caught.

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

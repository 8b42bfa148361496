"""The base class of all commands of `radishmount-ask`."""

import asyncio
import json
import re
from collections.abc import Callable
from typing import Any

from cleo.commands.command import Command
from result import Err, Ok, Result

from radishmount.border import InstanceClient, InstanceResponse
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.programs._application import Exit, print_error_line, print_line
from radishmount.programs._ask_text import refusal_text, status_text


__all__ = ["PROGRAM", "AskCommand", "FetchResult"]

PROGRAM = "radishmount-ask"
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}")

FetchResult = Result[InstanceResponse, Refusal]


class AskCommand(Command):
    """Sends one request, prints the response, and returns the exit code that matches it.

    `required_options` names the options that must be given. `format_text` turns the content of a
    response into text for people.
    """

    required_options: tuple[str, ...] = ()
    format_text: Callable[[dict[str, Any]], str] = staticmethod(status_text)

    async def fetch(self, client: InstanceClient) -> FetchResult:
        """Send the request and return the response."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run the command."""
        for name in self.required_options:
            if not self.option(name):
                print_error_line(self, f"{PROGRAM} {self.name} needs --{name}")
                return Exit.BAD_USAGE
        match asyncio.run(self._run()):
            case Err(refusal):
                print_error_line(self, f"{PROGRAM}: {refusal} ({refusal.ran.value})")
                return _exit_code_of_refusal(refusal)
            case Ok(response):
                return self._print(response)

    async def _run(self) -> FetchResult:
        entries = self.option("entry") if "entry" in self.required_options else []
        async with InstanceClient(list(entries)) as client:
            response = await self.fetch(client)
        if isinstance(response, Ok):
            for note in client.diagnostics:
                print_error_line(self, f"{PROGRAM}: {note}")
        return response

    def _print(self, response: InstanceResponse) -> int:
        if self.option("json"):
            print_line(self, json.dumps(response.content))
        elif response.error is not None and "ran" not in response.content:
            print_error_line(self, f"{PROGRAM}: {refusal_text(response.error)}")
        else:
            try:
                print_line(self, type(self).format_text(response.content))
            except (KeyError, TypeError, ValueError) as error:
                refusal = Refusal(Code.BAD_REPLY, detail=f"{type(error).__name__} {error}")
                print_error_line(self, f"{PROGRAM}: {refusal}")
                return Exit.INTERNAL
        return _exit_code_of_response(response)

    def read_number_option(self, name: str) -> Result[int | None, Refusal]:
        """Return the option `name` as an integer, or None when it was not given.

        Fails with BAD_FIELD when the text is not a whole number of at most 15 digits.
        """
        text = self.option(name)
        if text is None:
            return Ok(None)
        if NUMBER_PATTERN.fullmatch(text) is None:
            return Err(
                Refusal(
                    Code.BAD_FIELD,
                    detail=f"--{name} takes a whole number of at most 15 digits, not {text!r}",
                )
            )
        return Ok(int(text))


def _exit_code_of_refusal(refusal: Refusal) -> int:
    if refusal.code in (Code.BAD_FIELD, Code.BAD_BODY):
        return Exit.BAD_USAGE
    return Exit.UNREACHABLE if refusal.ran is RunStatus.NOT_RUN else Exit.OUTCOME_UNKNOWN


def _exit_code_of_response(response: InstanceResponse) -> int:
    if response.error is not None:
        is_unknown = response.ran == RunStatus.UNKNOWN.value
        return Exit.OUTCOME_UNKNOWN if is_unknown else Exit.REFUSED
    return Exit.PARTIAL if response.content.get("complete") is False else Exit.OK

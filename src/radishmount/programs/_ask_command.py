"""What all commands of `radishmount-ask` share."""

import asyncio
import json
import re
from collections.abc import Callable
from typing import Any

from cleo.commands.command import Command
from result import Err, Ok, Result

from radishmount.border import InstanceClient, InstanceResponse
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.programs._application import Exit, tell, tell_error
from radishmount.programs._ask_text import refusal_text, status_text


__all__ = ["PROGRAM", "AskCommand", "Asked"]

PROGRAM = "radishmount-ask"
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}")

Asked = Result[InstanceResponse, Refusal]


class AskCommand(Command):
    """What all commands share: they ask once, print the answer, and return its exit code."""

    needs: tuple[str, ...] = ()
    to_text: Callable[[dict[str, Any]], str] = staticmethod(status_text)

    async def fetch(self, client: InstanceClient) -> Asked:
        """Ask, and return the answer."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run the command."""
        for name in self.needs:
            if not self.option(name):
                tell_error(self, f"{PROGRAM} {self.name} needs --{name}")
                return Exit.BAD_USAGE
        match asyncio.run(self._run()):
            case Err(refusal):
                tell_error(self, f"{PROGRAM}: {refusal} ({refusal.ran.value})")
                return _exit_of_refusal(refusal)
            case Ok(answer):
                return self._print(answer)

    async def _run(self) -> Asked:
        entries = self.option("entry") if "entry" in self.needs else []
        async with InstanceClient(list(entries)) as client:
            answer = await self.fetch(client)
        if isinstance(answer, Ok):
            for note in client.diagnostics:
                tell_error(self, f"{PROGRAM}: {note}")
        return answer

    def _print(self, answer: InstanceResponse) -> int:
        if self.option("json"):
            tell(self, json.dumps(answer.content))
        elif answer.error is not None and "ran" not in answer.content:
            tell_error(self, f"{PROGRAM}: {refusal_text(answer.error)}")
        else:
            try:
                tell(self, type(self).to_text(answer.content))
            except (KeyError, TypeError, ValueError) as error:
                refusal = Refusal(Code.BAD_REPLY, detail=f"{type(error).__name__} {error}")
                tell_error(self, f"{PROGRAM}: {refusal}")
                return Exit.INTERNAL
        return _exit_of_answer(answer)

    def whole_number(self, name: str) -> Result[int | None, Refusal]:
        """Return the option `name` as a number, none when it was not given."""
        text = self.option(name)
        if text is None:
            return Ok(None)
        if NUMBER_PATTERN.fullmatch(text) is None:
            return Err(Refusal(Code.BAD_FIELD, detail=f"--{name} takes a number, not {text!r}"))
        return Ok(int(text))


def _exit_of_refusal(refusal: Refusal) -> int:
    if refusal.code in (Code.BAD_FIELD, Code.BAD_BODY):
        return Exit.BAD_USAGE
    return Exit.UNREACHABLE if refusal.ran is RunStatus.NOT_RUN else Exit.OUTCOME_UNKNOWN


def _exit_of_answer(answer: InstanceResponse) -> int:
    if answer.error is not None:
        is_unknown = answer.ran == RunStatus.UNKNOWN.value
        return Exit.OUTCOME_UNKNOWN if is_unknown else Exit.REFUSED
    return Exit.PARTIAL if answer.content.get("complete") is False else Exit.OK

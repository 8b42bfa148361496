"""JSON with comments, for settings and published objects."""

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pyjson5
from result import Err, Ok, Result

from radishmount.codes import Code, Refusal


__all__ = ["SyntaxDiagnostic", "parse_jsonc", "read_jsonc", "read_text"]

OFFSET_PATTERN = re.compile(r" near (\d+)")


@dataclass(frozen=True, slots=True)
class SyntaxDiagnostic:
    """A syntax error in a text; `line` counts from 1 and is None if unknown."""

    message: str
    line: int | None


def parse_jsonc(text: str) -> Result[Any, SyntaxDiagnostic]:
    """Return the value of `text`, or the first syntax error in it."""
    try:
        return Ok(pyjson5.decode(text))
    except pyjson5.Json5Exception as error:
        message = str(error.args[0])
    found = OFFSET_PATTERN.search(message)
    if found is None:
        return Err(SyntaxDiagnostic(message, None))
    line = text.count("\n", 0, int(found[1])) + 1
    return Err(SyntaxDiagnostic(message.replace(found[0], ""), line))


def read_text(path: Path) -> Result[str, Refusal]:
    """Return the UTF-8 text of the file `path`, or a refusal that names the file."""
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Err(Refusal(Code.UNREADABLE_FILE, detail=f"{path}: {error}"))


def read_jsonc(path: Path) -> Result[Any, Refusal]:
    """Return the value in the file `path`, or a refusal that names the file and the error."""
    match read_text(path):
        case Err(refusal):
            return Err(refusal)
        case Ok(text):
            pass
    match parse_jsonc(text):
        case Err(syntax_error):
            place = path if syntax_error.line is None else f"{path}:{syntax_error.line}"
            return Err(Refusal(Code.BROKEN_SYNTAX, detail=f"{place}: {syntax_error.message}"))
        case Ok(value):
            return Ok(value)

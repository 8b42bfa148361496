"""JSON with comments, for settings and published objects."""

from pathlib import Path
from typing import Any

import pyjson5
from result import Err, Ok, Result

from radishmount.codes import Code, Refusal


__all__ = ["read_jsonc"]


def read_jsonc(path: Path) -> Result[Any, Refusal]:
    """Return what `path` holds, or a refusal that names the file and what is wrong in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(Refusal(Code.UNREADABLE_FILE, detail=f"{path}: {error}"))
    try:
        return Ok(pyjson5.decode(text))
    except pyjson5.Json5Exception as error:
        return Err(Refusal(Code.BROKEN_SYNTAX, detail=f"{path}: {error.args[0]}"))

"""Reads a folder of published objects and checks them together; errors name file and line."""

import re
from collections import deque
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from radishmount.border._bundle import digest_of
from radishmount.border._jsonc import parse_jsonc, read_text
from radishmount.border._objects import build_publication, parse_object, subject_of
from radishmount.codes import Code, Refusal
from radishmount.publication import Diagnostic, Publication, PublishedObject


__all__ = ["ObjectFolder", "check_folder", "read_folder"]

OBJECT_START = re.compile(r'"kind"\s*:\s*"([^"\n]*)"\s*,\s*"name"\s*:\s*"([^"\n]*)"')


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """Where an object is defined; `line` is known only if `name` follows right after `kind`."""

    file: str
    line: int | None


@dataclass(slots=True)
class ObjectFolder:
    """The objects in all files of a folder, not validated yet, with their locations.

    `locations` has one item for each item of `raw_objects`.
    """

    raw_objects: list[dict[str, Any]] = field(default_factory=list)
    locations: list[SourceLocation] = field(default_factory=list)
    diagnostics: list[Diagnostic] = field(default_factory=list)


def read_folder(folder: Path) -> ObjectFolder:
    """Read the objects of each `.jsonc` and `.json` file in `folder`, in the order of file names.

    A file holds one object or a list of them. What cannot be read becomes a diagnostic.
    """
    found = ObjectFolder()
    paths = sorted(p for p in _files_in(folder) if p.suffix in (".json", ".jsonc"))
    if not paths:
        detail = "no such folder, or no .jsonc file in it"
        found.diagnostics.append(
            Diagnostic(Code.UNREADABLE_FILE, "folder", detail, file=str(folder))
        )
    for path in paths:
        match read_text(path):
            case Err(refusal):
                found.diagnostics.append(_file_diagnostic(path, refusal))
            case Ok(text):
                _add_file(found, str(path), text)
    return found


def check_folder(folder: ObjectFolder, version: int) -> Result[Publication, list[Diagnostic]]:
    """Return the publication of `folder` with the number `version`, or all errors with locations.

    If a file could not be read, references are not checked, as their targets may be in that file.
    """
    diagnostics = list(folder.diagnostics)
    objects: list[PublishedObject] = []
    broken: set[str] = set()
    locations_by_subject: dict[str, list[SourceLocation]] = {}
    for raw, location in zip(folder.raw_objects, folder.locations, strict=True):
        subject = subject_of(raw)
        locations_by_subject.setdefault(subject, []).append(location)
        match parse_object(raw):
            case Ok(item):
                objects.append(item)
            case Err(found):
                broken.add(subject)
                diagnostics.extend(
                    replace(diagnostic, file=location.file, line=location.line)
                    for diagnostic in found
                )
    if folder.diagnostics:
        return Err(diagnostics)
    digest = "" if broken else digest_of(folder.raw_objects)
    checked = build_publication(version, digest, objects, frozenset(broken))
    if isinstance(checked, Err):
        diagnostics.extend(
            _with_location(diagnostic, locations_by_subject) for diagnostic in checked.err_value
        )
    return Err(diagnostics) if diagnostics else checked


def _add_file(found: ObjectFolder, file: str, text: str) -> None:
    match parse_jsonc(text):
        case Err(syntax_error):
            found.diagnostics.append(
                Diagnostic(
                    Code.BROKEN_SYNTAX, "file", syntax_error.message, file, syntax_error.line
                )
            )
            return
        case Ok(value):
            pass
    lines_by_subject = _lines_by_subject(text)
    for raw in value if isinstance(value, list) else [value]:
        if not isinstance(raw, dict):
            detail = f"an object was expected, not {type(raw).__name__}"
            found.diagnostics.append(Diagnostic(Code.BROKEN_OBJECT, "object", detail, file))
            continue
        lines = lines_by_subject.get(subject_of(raw))
        found.raw_objects.append(raw)
        found.locations.append(SourceLocation(file, lines.popleft() if lines else None))


def _lines_by_subject(text: str) -> dict[str, deque[int]]:
    """Return the lines of the objects whose `name` follows right after `kind`, by subject."""
    lines_by_subject: dict[str, deque[int]] = {}
    line = 1
    counted_to = 0
    for found in OBJECT_START.finditer(text):
        line += text.count("\n", counted_to, found.start())
        counted_to = found.start()
        line_start = text.rfind("\n", 0, counted_to) + 1
        if text[line_start:counted_to].lstrip().startswith("//"):
            continue
        lines_by_subject.setdefault(f"{found[1]}/{found[2]}", deque()).append(line)
    return lines_by_subject


def _with_location(
    diagnostic: Diagnostic, locations_by_subject: dict[str, list[SourceLocation]]
) -> Diagnostic:
    locations = locations_by_subject.get(diagnostic.subject)
    if not locations:
        return diagnostic
    return replace(diagnostic, file=locations[-1].file, line=locations[-1].line)


def _file_diagnostic(path: Path, refusal: Refusal) -> Diagnostic:
    detail = refusal.detail.removeprefix(f"{path}: ")
    return Diagnostic(refusal.code, "file", detail, file=str(path))


def _files_in(folder: Path) -> list[Path]:
    try:
        return [path for path in folder.iterdir() if path.is_file()]
    except OSError:
        return []

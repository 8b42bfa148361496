"""A folder of published objects: read, checked as one, with the place of each fault."""

import re
from collections import deque
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from radishmount.border._bundle import digest_of
from radishmount.border._jsonc import parse_jsonc, read_text
from radishmount.border._objects import build_publication, parse_object, subject_of_raw
from radishmount.codes import Code, Refusal
from radishmount.publication import Diagnostic, Publication, PublishedObject


__all__ = ["ObjectFolder", "check_folder", "read_folder"]

OBJECT_START = re.compile(r'"kind"\s*:\s*"([^"\n]*)"\s*,\s*"name"\s*:\s*"([^"\n]*)"')


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """Where an object stands; the line is known when it writes `kind` and then `name`."""

    file: str
    line: int | None


@dataclass(slots=True)
class ObjectFolder:
    """The objects of all files of a folder, as they were written, and where each one stands."""

    raw_objects: list[dict[str, Any]] = field(default_factory=list)
    locations: list[SourceLocation] = field(default_factory=list)
    faults: list[Diagnostic] = field(default_factory=list)


def read_folder(folder: Path) -> ObjectFolder:
    """Return the objects of each `.jsonc` and `.json` file in `folder`, in the order of names.

    A file holds one object or a list of them. What cannot be read becomes a fault.
    """
    found = ObjectFolder()
    paths = sorted(p for p in _files(folder) if p.suffix in (".json", ".jsonc"))
    if not paths:
        detail = "no such folder, or no .jsonc file in it"
        found.faults.append(Diagnostic(Code.UNREADABLE_FILE, "folder", detail, file=str(folder)))
    for path in paths:
        match read_text(path):
            case Err(refusal):
                found.faults.append(_file_fault(path, refusal))
            case Ok(text):
                _take_file(found, str(path), text)
    return found


def check_folder(folder: ObjectFolder, version: int) -> Result[Publication, list[Diagnostic]]:
    """Return the publication of `folder` as `version`, or every fault with its place.

    While a file cannot be read, references are not checked: what they name may stand in that file.
    """
    faults = list(folder.faults)
    objects: list[PublishedObject] = []
    broken: set[str] = set()
    places_by_subject: dict[str, list[SourceLocation]] = {}
    for raw, place in zip(folder.raw_objects, folder.locations, strict=True):
        subject = subject_of_raw(raw)
        places_by_subject.setdefault(subject, []).append(place)
        match parse_object(raw):
            case Ok(item):
                objects.append(item)
            case Err(found):
                broken.add(subject)
                faults.extend(replace(f, file=place.file, line=place.line) for f in found)
    if folder.faults:
        return Err(faults)
    digest = "" if broken else digest_of(folder.raw_objects)
    checked = build_publication(version, digest, objects, frozenset(broken))
    if isinstance(checked, Err):
        faults.extend(_placed(fault, places_by_subject) for fault in checked.err_value)
    return Err(faults) if faults else checked


def _take_file(found: ObjectFolder, file: str, text: str) -> None:
    match parse_jsonc(text):
        case Err(fault):
            found.faults.append(
                Diagnostic(Code.BROKEN_SYNTAX, "file", fault.message, file, fault.line)
            )
            return
        case Ok(value):
            pass
    lines_by_subject = _lines_by_subject(text)
    for raw in value if isinstance(value, list) else [value]:
        if not isinstance(raw, dict):
            detail = f"an object was expected, not {type(raw).__name__}"
            found.faults.append(Diagnostic(Code.BROKEN_OBJECT, "object", detail, file))
            continue
        lines = lines_by_subject.get(subject_of_raw(raw))
        found.raw_objects.append(raw)
        found.locations.append(SourceLocation(file, lines.popleft() if lines else None))


def _lines_by_subject(text: str) -> dict[str, deque[int]]:
    """Return the lines in which objects begin that write `kind` and then `name`."""
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


def _placed(fault: Diagnostic, places_by_subject: dict[str, list[SourceLocation]]) -> Diagnostic:
    places = places_by_subject.get(fault.subject)
    if not places:
        return fault
    return replace(fault, file=places[-1].file, line=places[-1].line)


def _file_fault(path: Path, refusal: Refusal) -> Diagnostic:
    detail = refusal.detail.removeprefix(f"{path}: ")
    return Diagnostic(refusal.code, "file", detail, file=str(path))


def _files(folder: Path) -> list[Path]:
    try:
        return [path for path in folder.iterdir() if path.is_file()]
    except OSError:
        return []

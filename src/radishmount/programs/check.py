"""`radishmount-check`: checks a folder of published objects as one, and writes the bundle."""

import json
import re
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok, Result

from radishmount.border import (
    BUNDLE_KEY,
    MAX_VALUE_BYTES,
    ObjectFolder,
    check_folder,
    read_bundle,
    read_folder,
    split_bundle,
    write_bundle,
)
from radishmount.codes import TEXT_BY_CODE, Code, Refusal
from radishmount.programs._application import Exit, run_program, tell, tell_error
from radishmount.publication import (
    EMPTY_PUBLICATION,
    Change,
    Diagnostic,
    Publication,
    changes_between,
)


__all__ = ["main"]

PROGRAM = "radishmount-check"
VERSION_PATTERN = re.compile(r"[0-9]{1,15}")


class CheckCommand(Command):
    """The only command of the program."""

    name = PROGRAM
    description = "Checks a folder of published objects as one, and writes the bundle to publish."
    arguments = [argument("folder", "Holds the objects: .jsonc files, JSON with comments.")]
    options = [
        option("out", "o", "Write the bundle here, if there is no fault.", flag=False),
        option("against", "a", "The bundle that is published now; prints the changes.", flag=False),
        option("as", None, "The version; by default one above that of --against.", flag=False),
        option("json", None, "Print one JSON object."),
    ]

    def handle(self) -> int:
        """Print every fault, or the changes and the version; write the bundle."""
        match self._read_old():
            case Err(faults):
                return self._tell_faults(faults)
            case Ok(old):
                pass
        match _read_version(self.option("as"), old):
            case Err(refusal):
                tell_error(self, f"{PROGRAM}: --as: {refusal}")
                return Exit.BAD_USAGE if refusal.code is Code.BAD_FIELD else Exit.REFUSED
            case Ok(version):
                pass
        folder = read_folder(Path(self.argument("folder")))
        match check_folder(folder, version):
            case Err(faults):
                return self._tell_faults(faults)
            case Ok(publication):
                return self._accept(folder, publication, old)

    def _read_old(self) -> Result[Publication, list[Diagnostic]]:
        """Return the bundle that is published now, an empty one without `--against`."""
        path = self.option("against")
        if not path:
            return Ok(EMPTY_PUBLICATION)
        try:
            body = Path(path).read_bytes()
        except OSError as error:
            return Err(
                [Diagnostic(Code.UNREADABLE_FILE, "bundle", error.strerror or "", file=path)]
            )
        return read_bundle(body)

    def _accept(self, folder: ObjectFolder, publication: Publication, old: Publication) -> int:
        body = write_bundle(publication.version, folder.raw_objects)
        changes = changes_between(old, publication)
        out = self.option("out")
        if out:
            try:
                _write(out, publication.version, body)
            except OSError as error:
                tell_error(self, str(Refusal(Code.UNREADABLE_FILE, f"{out}: {error.strerror}")))
                return Exit.BAD_USAGE
        if self.option("json"):
            tell(self, json.dumps(_content_of(publication, changes, len(body))))
            return Exit.OK
        for change in changes if self.option("against") else ():
            tell(self, str(change))
        tell(self, _summary(publication, changes, len(body)))
        if len(body) > MAX_VALUE_BYTES:
            tell_error(self, f"note: above {MAX_VALUE_BYTES} bytes, so it is published in pieces")
            if out:
                tell_error(self, f"note: publish {out}.piece-* first, {out}.manifest last")
        return Exit.OK

    def _tell_faults(self, faults: list[Diagnostic]) -> int:
        ordered = sorted(faults, key=lambda fault: (fault.file, fault.line or 0))
        if self.option("json"):
            tell(self, json.dumps({"faults": [_content_of_fault(fault) for fault in ordered]}))
            return Exit.REFUSED
        for fault in ordered:
            tell_error(self, str(fault))
        tell_error(self, f"{len(ordered)} fault{'s' if len(ordered) > 1 else ''}, nothing written")
        return Exit.REFUSED


def _write(out: str, version: int, body: bytes) -> None:
    """Write the bundle, and what to publish in its place when it is too long for one value."""
    Path(out).write_bytes(body)
    values = split_bundle(version, body)
    if len(values) == 1:
        return
    for key, value in values.items():
        number = key.rpartition("/")[2]
        suffix = "manifest" if key == BUNDLE_KEY else f"piece-{number}"
        Path(f"{out}.{suffix}").write_bytes(value)


def _read_version(text: str | None, old: Publication) -> Result[int, Refusal]:
    if text is None:
        return Ok(old.version + 1)
    if not (VERSION_PATTERN.fullmatch(text) and int(text) > 0):
        return Err(Refusal(Code.BAD_FIELD, detail=f"{text!r} is not a version, which is 1 or more"))
    if int(text) <= old.version:
        return Err(Refusal(Code.VERSION_NOT_GROWING, detail=f"{text} after {old.version}"))
    return Ok(int(text))


def _summary(publication: Publication, changes: list[Change], size: int) -> str:
    counts = ", ".join(f"{count} {name}" for name, count in _counts_of(publication).items())
    return (
        f"version {publication.version}: {counts}; {len(changes)} changes, {size} bytes, "
        f"digest {publication.digest[:12]}"
    )


def _counts_of(publication: Publication) -> dict[str, int]:
    return {
        "data centres": len(publication.data_centres_by_name),
        "services": len(publication.services_by_name),
        "endpoints": len(publication.endpoints_by_name),
        "collections": len(publication.collections_by_name),
        "shards": len(publication.shards_by_name),
        "rules": len(publication.rules_by_name),
        "callers": len(publication.callers_by_name),
    }


def _content_of(publication: Publication, changes: list[Change], size: int) -> dict[str, Any]:
    return {
        "faults": [],
        "version": publication.version,
        "digest": publication.digest,
        "bytes": size,
        "counts": _counts_of(publication),
        "changes": [
            {"kind": change.kind.value, "subject": change.subject, "fields": change.fields}
            for change in changes
        ],
    }


def _content_of_fault(fault: Diagnostic) -> dict[str, Any]:
    return {
        "file": fault.file,
        "line": fault.line,
        "subject": fault.subject,
        "number": fault.code.value,
        "name": fault.code.name,
        "text": TEXT_BY_CODE[fault.code],
        "detail": fault.detail,
    }


def main() -> None:
    """Run the program."""
    raise SystemExit(run_program(PROGRAM, [CheckCommand()]))

"""`radishmount-check`: validates a folder of published objects as a whole; writes the bundle."""

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
from radishmount.programs._application import Exit, print_error_line, print_line, run_program
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
    """Validates the folder, and prints its faults, or what changed since the published bundle."""

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
        """Print every fault; or write the bundle, and print the changes and the version."""
        match self._read_published_bundle():
            case Err(faults):
                return self._print_faults(faults)
            case Ok(old):
                pass
        match _read_version(self.option("as"), old):
            case Err(refusal):
                print_error_line(self, f"{PROGRAM}: --as: {refusal}")
                return Exit.BAD_USAGE if refusal.code is Code.BAD_FIELD else Exit.REFUSED
            case Ok(version):
                pass
        folder = read_folder(Path(self.argument("folder")))
        match check_folder(folder, version):
            case Err(faults):
                return self._print_faults(faults)
            case Ok(publication):
                return self._write_and_report(folder, publication, old)

    def _read_published_bundle(self) -> Result[Publication, list[Diagnostic]]:
        """Return the publication of the `--against` bundle; an empty one without the option."""
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

    def _write_and_report(
        self, folder: ObjectFolder, publication: Publication, old: Publication
    ) -> int:
        body = write_bundle(publication.version, folder.raw_objects)
        changes = changes_between(old, publication)
        out = self.option("out")
        if out:
            try:
                _write_bundle_files(out, publication.version, body)
            except OSError as error:
                print_error_line(
                    self, str(Refusal(Code.UNREADABLE_FILE, f"{out}: {error.strerror}"))
                )
                return Exit.BAD_USAGE
        if self.option("json"):
            print_line(self, json.dumps(_publication_content(publication, changes, len(body))))
            return Exit.OK
        for change in changes if self.option("against") else ():
            print_line(self, str(change))
        print_line(self, _summary(publication, changes, len(body)))
        if len(body) > MAX_VALUE_BYTES:
            print_error_line(
                self,
                f"note: the bundle exceeds {MAX_VALUE_BYTES} bytes, so it is published in pieces",
            )
            if out:
                print_error_line(self, f"note: publish {out}.piece-* first, {out}.manifest last")
        return Exit.OK

    def _print_faults(self, faults: list[Diagnostic]) -> int:
        ordered = sorted(faults, key=lambda fault: (fault.file, fault.line or 0))
        if self.option("json"):
            print_line(self, json.dumps({"faults": [_fault_content(fault) for fault in ordered]}))
            return Exit.REFUSED
        for fault in ordered:
            print_error_line(self, str(fault))
        print_error_line(
            self, f"{len(ordered)} fault{'s' if len(ordered) > 1 else ''}, nothing written"
        )
        return Exit.REFUSED


def _write_bundle_files(out: str, version: int, body: bytes) -> None:
    """Write the bundle, and its pieces and manifest when it exceeds the size of one value."""
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
        return Err(
            Refusal(
                Code.BAD_FIELD,
                detail=f"{text!r} is not a whole number of at least 1 with at most 15 digits",
            )
        )
    if int(text) <= old.version:
        return Err(
            Refusal(
                Code.VERSION_NOT_GROWING,
                detail=f"{text} is not above the published version {old.version}",
            )
        )
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


def _publication_content(
    publication: Publication, changes: list[Change], size: int
) -> dict[str, Any]:
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


def _fault_content(fault: Diagnostic) -> dict[str, Any]:
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

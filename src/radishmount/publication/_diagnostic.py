"""A problem in a set of published objects, and how diagnostics and audit lines name objects."""

from dataclasses import dataclass

from radishmount.codes import TEXT_BY_CODE, Code
from radishmount.publication._objects import (
    Caller,
    Collection,
    DataCentre,
    Evacuation,
    Rule,
    Service,
    Shard,
)


__all__ = ["Diagnostic", "PublishedObject", "subject_of"]

PublishedObject = DataCentre | Service | Collection | Shard | Rule | Caller | Evacuation

KIND_BY_TYPE: dict[type, str] = {
    DataCentre: "data-centre",
    Service: "service",
    Collection: "collection",
    Shard: "shard",
    Rule: "rule",
    Caller: "caller",
    Evacuation: "evacuation",
}


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """One problem in a set of published objects. `subject` names the object as `kind/name`."""

    code: Code
    subject: str
    detail: str = ""
    file: str = ""
    line: int | None = None

    def __str__(self) -> str:
        """Return the diagnostic on one line, with file and line number if they are known."""
        location = (
            f"{self.file}:{self.line}: " if self.line else f"{self.file}: " if self.file else ""
        )
        suffix = f": {self.detail}" if self.detail else ""
        text = TEXT_BY_CODE[self.code]
        return f"{location}{self.subject}: {self.code.value} {self.code.name}: {text}{suffix}"


def subject_of(item: PublishedObject) -> str:
    """Return the name of `item` in diagnostics and audit lines, such as `service/catalogue-01`."""
    return f"{KIND_BY_TYPE[type(item)]}/{item.name}"

"""The difference between two versions of the published objects."""

from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import StrEnum

from radishmount.publication._diagnostic import PublishedObject, subject_of
from radishmount.publication._publication import Publication


__all__ = ["Change", "ChangeKind", "changes_between"]


class ChangeKind(StrEnum):
    """How an object differs between two versions."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Change:
    """One object that differs between two versions. `fields` are the names of changed fields."""

    kind: ChangeKind
    subject: str
    fields: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return the change on one line."""
        suffix = f": {', '.join(self.fields)}" if self.fields else ""
        return f"{self.kind.value} {self.subject}{suffix}"


def changes_between(old: Publication, new: Publication) -> list[Change]:
    """Return the objects that were added, removed or changed from `old` to `new`, by subject."""
    old_by_subject = _by_subject(old)
    new_by_subject = _by_subject(new)
    changes = []
    for subject in sorted({*old_by_subject, *new_by_subject}):
        before = old_by_subject.get(subject)
        after = new_by_subject.get(subject)
        if before == after:
            continue
        if before is None:
            changes.append(Change(ChangeKind.ADDED, subject))
        elif after is None:
            changes.append(Change(ChangeKind.REMOVED, subject))
        else:
            changes.append(Change(ChangeKind.CHANGED, subject, _changed_fields(before, after)))
    return changes


def _changed_fields(before: PublishedObject, after: PublishedObject) -> tuple[str, ...]:
    names = [field.name for field in fields(before)]
    return tuple(name for name in names if getattr(before, name) != getattr(after, name))


def _by_subject(publication: Publication) -> Mapping[str, PublishedObject]:
    by_subject: dict[str, PublishedObject] = {}
    for by_name in (
        publication.data_centres_by_name,
        publication.services_by_name,
        publication.collections_by_name,
        publication.shards_by_name,
        publication.rules_by_name,
        publication.callers_by_name,
        publication.evacuations_by_name,
    ):
        for item in by_name.values():
            by_subject[subject_of(item)] = item
    return by_subject

"""The check of the whole set as one: every fault is found in one run."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from radishmount.codes import TEXT_BY_CODE, Code
from radishmount.publication._keys import ALL_KEYS, KeyRange
from radishmount.publication._objects import (
    Caller,
    Collection,
    DataCentre,
    Rule,
    Service,
    Shard,
)
from radishmount.publication._publication import Publication


__all__ = ["Fault", "PublishedObject", "check_objects", "check_publication", "subject_of"]

PublishedObject = DataCentre | Service | Collection | Shard | Rule | Caller


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a published set: `subject` names the object as `kind/name`."""

    code: Code
    subject: str
    detail: str = ""
    file: str = ""
    line: int | None = None

    def __str__(self) -> str:
        """Return the fault on one line, with file and line where they are known."""
        place = f"{self.file}:{self.line}: " if self.line else f"{self.file}: " if self.file else ""
        suffix = f": {self.detail}" if self.detail else ""
        text = TEXT_BY_CODE[self.code]
        return f"{place}{self.subject}: {self.code.value} {self.code.name}: {text}{suffix}"


def check_objects(objects: Iterable[PublishedObject]) -> list[Fault]:
    """Return a fault for each object whose kind and name another one has already."""
    faults = []
    seen = set()
    for item in objects:
        subject = subject_of(item)
        if subject in seen:
            faults.append(Fault(Code.DUPLICATE_OBJECT, subject))
        seen.add(subject)
    return faults


def check_publication(publication: Publication) -> list[Fault]:
    """Return every fault of `publication`, an empty list when it may be put in force."""
    faults: list[Fault] = []
    for service in publication.services_by_name.values():
        faults.extend(_check_service(service, publication))
    for shard in publication.shards_by_name.values():
        faults.extend(_check_shard(shard, publication))
    for rule in publication.rules_by_name.values():
        faults.extend(_check_rule(rule, publication))
    for caller in publication.callers_by_name.values():
        faults.extend(_check_caller(caller, publication))
    for collection in publication.collections_by_name.values():
        shards = [s for s in publication.shards_by_name.values() if s.collection == collection.name]
        faults.extend(_check_maps(collection, shards))
    return faults


def subject_of(item: PublishedObject) -> str:
    """Return how faults and audit lines name `item`, such as `service/catalogue-01`."""
    return f"{KIND_BY_TYPE[type(item)]}/{item.name}"


KIND_BY_TYPE: dict[type, str] = {
    DataCentre: "data-centre",
    Service: "service",
    Collection: "collection",
    Shard: "shard",
    Rule: "rule",
    Caller: "caller",
}


def _check_service(service: Service, publication: Publication) -> list[Fault]:
    subject = subject_of(service)
    faults = []
    for field, limit in (("slots", service.slots), ("connections", service.connections)):
        if limit <= 0:
            faults.append(Fault(Code.LIMIT_OF_ZERO, subject, field))
    for endpoint in service.endpoints:
        if endpoint.data_centre not in publication.data_centres_by_name:
            detail = f"{endpoint.name} names data-centre/{endpoint.data_centre}"
            faults.append(Fault(Code.DANGLING_REFERENCE, subject, detail))
        if publication.services_by_endpoint[endpoint.name] is not service:
            faults.append(Fault(Code.DUPLICATE_OBJECT, subject, f"endpoint {endpoint.name}"))
    return faults


def _check_shard(shard: Shard, publication: Publication) -> list[Fault]:
    subject = subject_of(shard)
    faults = []
    if shard.collection not in publication.collections_by_name:
        detail = f"collection/{shard.collection}"
        faults.append(Fault(Code.DANGLING_REFERENCE, subject, detail))
    service = publication.services_by_name.get(shard.service)
    if service is None:
        faults.append(Fault(Code.DANGLING_REFERENCE, subject, f"service/{shard.service}"))
    elif not service.endpoints:
        faults.append(Fault(Code.EMPTY_SHARD, subject, f"service/{shard.service}"))
    return faults


def _check_rule(rule: Rule, publication: Publication) -> list[Fault]:
    subject = subject_of(rule)
    faults = []
    targets = (publication.collections_by_name, publication.services_by_name)
    if not any(rule.target in by_name for by_name in targets):
        faults.append(Fault(Code.DANGLING_REFERENCE, subject, f"target {rule.target}"))
    for field, limit in (("deadline", rule.deadline_ms), ("quota", rule.quota_per_s)):
        if limit <= 0:
            faults.append(Fault(Code.LIMIT_OF_ZERO, subject, field))
    return faults


def _check_caller(caller: Caller, publication: Publication) -> list[Fault]:
    subject = subject_of(caller)
    faults = []
    if caller.data_centre not in publication.data_centres_by_name:
        detail = f"data-centre/{caller.data_centre}"
        faults.append(Fault(Code.DANGLING_REFERENCE, subject, detail))
    for name in caller.rules:
        if name not in publication.rules_by_name:
            faults.append(Fault(Code.DANGLING_REFERENCE, subject, f"rule/{name}"))
    return faults


def _check_maps(collection: Collection, shards: Sequence[Shard]) -> list[Fault]:
    faults = _check_tiling(f"collection/{collection.name}", [p.keys for p in collection.parts])
    # The map can only change where some shard begins or ends.
    changes = {shard.since for shard in shards}
    changes.update(shard.until for shard in shards if shard.until is not None)
    for index_version in sorted(changes):
        ranges = [shard.keys for shard in shards if shard.is_in(index_version)]
        subject = f"collection/{collection.name} at index version {index_version}"
        faults.extend(_check_tiling(subject, ranges))
    return faults


def _check_tiling(subject: str, ranges: Iterable[KeyRange]) -> list[Fault]:
    """Return a fault for each overlap and each hole that `ranges` leave in all keys."""
    faults = []
    reached: str | None = ALL_KEYS.low
    for piece in sorted(ranges, key=lambda piece: piece.low):
        if reached is None or piece.low < reached:
            faults.append(Fault(Code.OVERLAPPING_SHARDS, subject, f"at {piece.low!r}"))
        elif piece.low > reached:
            detail = f"from {reached!r} to {piece.low!r}"
            faults.append(Fault(Code.HOLE_IN_SHARDS, subject, detail))
        if reached is not None:
            reached = None if piece.high is None else max(reached, piece.high)
    if reached is not None:
        faults.append(Fault(Code.HOLE_IN_SHARDS, subject, f"from {reached!r} on"))
    return faults

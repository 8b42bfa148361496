"""Validates all published objects together and reports every problem in one run."""

from collections import Counter
from collections.abc import Container, Iterable

from radishmount.codes import Code
from radishmount.publication._diagnostic import Diagnostic, PublishedObject, subject_of
from radishmount.publication._key_range import KeyRange
from radishmount.publication._objects import (
    Caller,
    Collection,
    EndpointSpec,
    Evacuation,
    Rule,
    Service,
    Shard,
)
from radishmount.publication._partitioning import check_partitioning
from radishmount.publication._publication import Publication


__all__ = ["check_objects", "check_publication"]


def check_objects(objects: Iterable[PublishedObject]) -> list[Diagnostic]:
    """Return a diagnostic for each object whose kind and name an earlier object has."""
    diagnostics = []
    seen = set()
    for item in objects:
        subject = subject_of(item)
        if subject in seen:
            diagnostics.append(Diagnostic(Code.DUPLICATE_OBJECT, subject))
        seen.add(subject)
    return diagnostics


def check_publication(
    publication: Publication, unreadable_subjects: frozenset[str] = frozenset()
) -> list[Diagnostic]:
    """Return every problem of `publication`, or an empty list if it is valid.

    `unreadable_subjects` are objects, as `kind/name`, that exist but could not be read. A
    reference to one of them is not reported. If a shard is among them, the shard maps are not
    checked, because one of them lacks it.
    """
    diagnostics: list[Diagnostic] = []
    for service in publication.services_by_name.values():
        diagnostics.extend(_check_service(service, publication, unreadable_subjects))
    diagnostics.extend(_check_addresses(publication))
    for shard in publication.shards_by_name.values():
        diagnostics.extend(_check_shard(shard, publication, unreadable_subjects))
    for rule in publication.rules_by_name.values():
        diagnostics.extend(_check_rule(rule, publication, unreadable_subjects))
    for caller in publication.callers_by_name.values():
        diagnostics.extend(_check_caller(caller, publication, unreadable_subjects))
    for evacuation in publication.evacuations_by_name.values():
        diagnostics.extend(_check_evacuation(evacuation, publication, unreadable_subjects))
    shards_by_collection = _shards_by_collection(publication)
    has_unreadable_shard = any(subject.startswith("shard/") for subject in unreadable_subjects)
    for collection in publication.collections_by_name.values():
        diagnostics.extend(_check_collection(collection))
        if not has_unreadable_shard:
            diagnostics.extend(
                check_partitioning(collection, shards_by_collection.get(collection.name, []))
            )
    return diagnostics


def _check_service(
    service: Service, publication: Publication, unreadable_subjects: frozenset[str]
) -> list[Diagnostic]:
    subject = subject_of(service)
    diagnostics = []
    for endpoint in service.endpoints:
        reference = f"data-centre/{endpoint.data_centre}"
        if _is_dangling(reference, publication.data_centres_by_name, unreadable_subjects):
            detail = f"endpoint {endpoint.name} names {reference}"
            diagnostics.append(Diagnostic(Code.DANGLING_REFERENCE, subject, detail))
    for name, count in Counter(endpoint.name for endpoint in service.endpoints).items():
        if count > 1:
            diagnostics.append(
                Diagnostic(Code.DUPLICATE_OBJECT, subject, f"endpoint {name}, {count} times")
            )
        elif publication.services_by_endpoint[name] is not service:
            other = subject_of(publication.services_by_endpoint[name])
            diagnostics.append(
                Diagnostic(Code.DUPLICATE_OBJECT, subject, f"endpoint {name}, also {other}")
            )
    return diagnostics


def _check_addresses(publication: Publication) -> list[Diagnostic]:
    """Return a diagnostic for each endpoint whose address an earlier endpoint has."""
    diagnostics = []
    first_by_address: dict[str, EndpointSpec] = {}
    for service in publication.services_by_name.values():
        for endpoint in service.endpoints:
            first = first_by_address.setdefault(endpoint.address, endpoint)
            if first is endpoint:
                continue
            detail = f"{endpoint.address} of {endpoint.name} and {first.name}"
            diagnostics.append(Diagnostic(Code.DUPLICATE_ADDRESS, subject_of(service), detail))
    return diagnostics


def _check_shard(
    shard: Shard, publication: Publication, unreadable_subjects: frozenset[str]
) -> list[Diagnostic]:
    subject = subject_of(shard)
    diagnostics = _check_range(subject, shard.keys)
    if shard.until is not None and shard.until <= shard.since:
        detail = f"until {shard.until} is not above since {shard.since}"
        diagnostics.append(Diagnostic(Code.EMPTY_RANGE, subject, detail))
    collection = f"collection/{shard.collection}"
    if _is_dangling(collection, publication.collections_by_name, unreadable_subjects):
        diagnostics.append(Diagnostic(Code.DANGLING_REFERENCE, subject, collection))
    service = publication.services_by_name.get(shard.service)
    if service is not None and not service.endpoints:
        diagnostics.append(Diagnostic(Code.EMPTY_SHARD, subject, subject_of(service)))
    reference = f"service/{shard.service}"
    if _is_dangling(reference, publication.services_by_name, unreadable_subjects):
        diagnostics.append(Diagnostic(Code.DANGLING_REFERENCE, subject, reference))
    return diagnostics


def _check_rule(
    rule: Rule, publication: Publication, unreadable_subjects: frozenset[str]
) -> list[Diagnostic]:
    subject = subject_of(rule)
    diagnostics = []
    is_collection = rule.target in publication.collections_by_name
    is_service = rule.target in publication.services_by_name
    if is_collection and is_service:
        detail = f"target {rule.target} is a collection and a service"
        diagnostics.append(Diagnostic(Code.AMBIGUOUS_TARGET, subject, detail))
    if is_collection or is_service:
        return diagnostics
    if not unreadable_subjects & {f"collection/{rule.target}", f"service/{rule.target}"}:
        diagnostics.append(Diagnostic(Code.DANGLING_REFERENCE, subject, f"target {rule.target}"))
    return diagnostics


def _check_caller(
    caller: Caller, publication: Publication, unreadable_subjects: frozenset[str]
) -> list[Diagnostic]:
    subject = subject_of(caller)
    diagnostics = []
    data_centre = f"data-centre/{caller.data_centre}"
    if _is_dangling(data_centre, publication.data_centres_by_name, unreadable_subjects):
        diagnostics.append(Diagnostic(Code.DANGLING_REFERENCE, subject, data_centre))
    rule_names_by_target: dict[str, str] = {}
    for name in caller.rules:
        if _is_dangling(f"rule/{name}", publication.rules_by_name, unreadable_subjects):
            diagnostics.append(Diagnostic(Code.DANGLING_REFERENCE, subject, f"rule/{name}"))
        rule = publication.rules_by_name.get(name)
        if rule is None:
            continue
        first_name = rule_names_by_target.setdefault(rule.target, name)
        if first_name != name or caller.rules.count(name) > 1:
            detail = f"rules {first_name} and {name} both have the target {rule.target}"
            diagnostics.append(Diagnostic(Code.AMBIGUOUS_TARGET, subject, detail))
    return diagnostics


def _check_evacuation(
    evacuation: Evacuation, publication: Publication, unreadable_subjects: frozenset[str]
) -> list[Diagnostic]:
    data_centre = f"data-centre/{evacuation.data_centre}"
    if _is_dangling(data_centre, publication.data_centres_by_name, unreadable_subjects):
        return [Diagnostic(Code.DANGLING_REFERENCE, subject_of(evacuation), data_centre)]
    return []


def _check_collection(collection: Collection) -> list[Diagnostic]:
    subject = subject_of(collection)
    diagnostics = []
    for part in collection.parts:
        diagnostics.extend(_check_range(subject, part.keys, f"part {part.name}: "))
    for name, count in Counter(part.name for part in collection.parts).items():
        if count > 1:
            diagnostics.append(
                Diagnostic(Code.DUPLICATE_OBJECT, subject, f"part {name}, {count} times")
            )
    return diagnostics


def _check_range(subject: str, keys: KeyRange, prefix: str = "") -> list[Diagnostic]:
    if keys.high is None or keys.low < keys.high:
        return []
    return [Diagnostic(Code.EMPTY_RANGE, subject, f"{prefix}from {keys.low!r} to {keys.high!r}")]


def _shards_by_collection(publication: Publication) -> dict[str, list[Shard]]:
    by_collection: dict[str, list[Shard]] = {}
    for shard in publication.shards_by_name.values():
        by_collection.setdefault(shard.collection, []).append(shard)
    return by_collection


def _is_dangling(
    reference: str, known_names: Container[str], unreadable_subjects: frozenset[str]
) -> bool:
    _, _, name = reference.partition("/")
    return name not in known_names and reference not in unreadable_subjects

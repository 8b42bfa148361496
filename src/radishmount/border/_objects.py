"""Published objects: from what operators wrote to data classes, checked as one."""

from collections.abc import Iterable

from pydantic import ValidationError
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from radishmount.border._models import describe_error, errors_of
from radishmount.border._object_models import OBJECT_ADAPTER
from radishmount.border._quantities import LIMIT_OF_ZERO, UNKNOWN_UNIT
from radishmount.codes import Code
from radishmount.publication import (
    Caller,
    Collection,
    DataCentre,
    Diagnostic,
    Publication,
    PublishedObject,
    Rule,
    Service,
    Shard,
    check_objects,
    check_publication,
)


__all__ = ["parse_object", "build_publication", "subject_of_raw"]

CODE_BY_ERROR_TYPE = {LIMIT_OF_ZERO: Code.LIMIT_OF_ZERO, UNKNOWN_UNIT: Code.UNKNOWN_UNIT}
MAX_SUBJECT_CHARS = 100


def parse_object(raw: object) -> Result[PublishedObject, list[Diagnostic]]:
    """Return one published object, or every fault that it has by itself."""
    try:
        return Ok(OBJECT_ADAPTER.validate_python(raw).to_data())
    except ValidationError as error:
        subject = subject_of_raw(raw)
        return Err([_fault(subject, details) for details in errors_of(error)])


def build_publication(
    version: int,
    digest: str,
    objects: Iterable[PublishedObject],
    broken: frozenset[str] = frozenset(),
) -> Result[Publication, list[Diagnostic]]:
    """Return the publication of `objects`, checked as one, or every fault of it.

    `broken` names those objects as `kind/name` that could not be read.
    """
    listed = list(objects)
    publication = Publication(
        version=version,
        digest=digest,
        data_centres_by_name={o.name: o for o in listed if isinstance(o, DataCentre)},
        services_by_name={o.name: o for o in listed if isinstance(o, Service)},
        collections_by_name={o.name: o for o in listed if isinstance(o, Collection)},
        shards_by_name={o.name: o for o in listed if isinstance(o, Shard)},
        rules_by_name={o.name: o for o in listed if isinstance(o, Rule)},
        callers_by_name={o.name: o for o in listed if isinstance(o, Caller)},
    )
    faults = [*check_objects(listed), *check_publication(publication, broken)]
    return Err(faults) if faults else Ok(publication)


def _fault(subject: str, details: ErrorDetails) -> Diagnostic:
    code = CODE_BY_ERROR_TYPE.get(details["type"], Code.BROKEN_OBJECT)
    # The first step is the kind, which the subject names already.
    return Diagnostic(code, subject, describe_error(details, skipped_steps=1))


def subject_of_raw(raw: object) -> str:
    """Return how faults name `raw`, which may be anything."""
    if not isinstance(raw, dict):
        return "object"
    kind = str(raw.get("kind", "object"))[:MAX_SUBJECT_CHARS]
    name = str(raw.get("name", "?"))[:MAX_SUBJECT_CHARS]
    return f"{kind}/{name}"

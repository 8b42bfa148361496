"""Converts published objects into data classes, and checks them together as a publication."""

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
    Evacuation,
    Publication,
    PublishedObject,
    Rule,
    Service,
    Shard,
    check_objects,
    check_publication,
)


__all__ = ["parse_object", "build_publication", "subject_of"]

CODE_BY_ERROR_TYPE = {LIMIT_OF_ZERO: Code.LIMIT_OF_ZERO, UNKNOWN_UNIT: Code.UNKNOWN_UNIT}
MAX_SUBJECT_CHARS = 100


def parse_object(raw: object) -> Result[PublishedObject, list[Diagnostic]]:
    """Return one published object, or all errors within it."""
    try:
        return Ok(OBJECT_ADAPTER.validate_python(raw).to_data())
    except ValidationError as error:
        subject = subject_of(raw)
        return Err([_diagnostic(subject, details) for details in errors_of(error)])


def build_publication(
    version: int,
    digest: str,
    objects: Iterable[PublishedObject],
    broken: frozenset[str] = frozenset(),
) -> Result[Publication, list[Diagnostic]]:
    """Return the publication of `objects`, checked together, or all errors in it.

    `broken` has the objects that could not be read, as `kind/name`.
    """
    object_list = list(objects)
    publication = Publication(
        version=version,
        digest=digest,
        data_centres_by_name={o.name: o for o in object_list if isinstance(o, DataCentre)},
        services_by_name={o.name: o for o in object_list if isinstance(o, Service)},
        collections_by_name={o.name: o for o in object_list if isinstance(o, Collection)},
        shards_by_name={o.name: o for o in object_list if isinstance(o, Shard)},
        rules_by_name={o.name: o for o in object_list if isinstance(o, Rule)},
        callers_by_name={o.name: o for o in object_list if isinstance(o, Caller)},
        evacuations_by_name={o.name: o for o in object_list if isinstance(o, Evacuation)},
    )
    diagnostics = [*check_objects(object_list), *check_publication(publication, broken)]
    return Err(diagnostics) if diagnostics else Ok(publication)


def _diagnostic(subject: str, details: ErrorDetails) -> Diagnostic:
    code = CODE_BY_ERROR_TYPE.get(details["type"], Code.BROKEN_OBJECT)
    # The first segment is the kind, which the subject contains already.
    return Diagnostic(code, subject, describe_error(details, skipped_segments=1))


def subject_of(raw: object) -> str:
    """Return the subject `kind/name` of `raw` for diagnostics; `raw` may be any value."""
    if not isinstance(raw, dict):
        return "object"
    kind = str(raw.get("kind", "object"))[:MAX_SUBJECT_CHARS]
    name = str(raw.get("name", "?"))[:MAX_SUBJECT_CHARS]
    return f"{kind}/{name}"

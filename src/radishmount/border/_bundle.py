"""The encoding of a bundle: one version of all published objects, as JSON with a digest."""

from collections.abc import Iterable
from hashlib import sha256
from typing import Annotated, Any

import orjson
from pydantic import Field, ValidationError
from result import Err, Result

from radishmount.border._models import BorderModel, describe_first_error
from radishmount.border._objects import build_publication, parse_object
from radishmount.codes import Code
from radishmount.publication import Diagnostic, Publication, PublishedObject


__all__ = ["digest_of", "read_bundle", "write_bundle"]

BUNDLE_SUBJECT = "bundle"
MAX_VERSION = 2**53


class BundleModel(BorderModel):
    """A bundle whose objects are not validated yet."""

    version: Annotated[int, Field(ge=1, le=MAX_VERSION)]
    digest: str
    objects: list[dict[str, Any]]


def digest_of(objects: Iterable[dict[str, Any]]) -> str:
    """Return the SHA-256 digest of `objects`, independent of their order and whitespace."""
    lines = sorted(orjson.dumps(item, option=orjson.OPT_SORT_KEYS) for item in objects)
    return sha256(b"\n".join(lines)).hexdigest()


def write_bundle(version: int, objects: Iterable[dict[str, Any]]) -> bytes:
    """Encode `objects` as the bundle with the number `version`."""
    object_list = list(objects)
    return orjson.dumps(
        {"version": version, "digest": digest_of(object_list), "objects": object_list}
    )


def read_bundle(body: bytes) -> Result[Publication, list[Diagnostic]]:
    """Return the publication in the bundle `body`, or every error in it.

    A bundle with any error is rejected as a whole.
    """
    try:
        model = BundleModel.model_validate(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        return Err([Diagnostic(Code.BROKEN_SYNTAX, BUNDLE_SUBJECT, str(error))])
    except ValidationError as error:
        return Err([Diagnostic(Code.BROKEN_OBJECT, BUNDLE_SUBJECT, describe_first_error(error))])
    if digest_of(model.objects) != model.digest:
        return Err(
            [
                Diagnostic(
                    Code.DIGEST_CONFLICT, BUNDLE_SUBJECT, "the digest does not match the objects"
                )
            ]
        )
    objects: list[PublishedObject] = []
    diagnostics: list[Diagnostic] = []
    for raw in model.objects:
        read = parse_object(raw)
        if isinstance(read, Err):
            diagnostics.extend(read.err_value)
            continue
        objects.append(read.ok_value)
    if diagnostics:
        return Err(diagnostics)
    return build_publication(model.version, model.digest, objects)

"""The bundle: one version of all published objects, as it is published."""

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

BUNDLE = "bundle"
MAX_VERSION = 2**53


class BundleModel(BorderModel):
    """A bundle, before its objects are read."""

    version: Annotated[int, Field(ge=1, le=MAX_VERSION)]
    digest: str
    objects: list[dict[str, Any]]


def digest_of(objects: Iterable[dict[str, Any]]) -> str:
    """Return the digest of `objects`, which does not depend on their order or spacing."""
    lines = sorted(orjson.dumps(item, option=orjson.OPT_SORT_KEYS) for item in objects)
    return sha256(b"\n".join(lines)).hexdigest()


def write_bundle(version: int, objects: Iterable[dict[str, Any]]) -> bytes:
    """Return the bundle of `objects` as it is published."""
    listed = list(objects)
    return orjson.dumps({"version": version, "digest": digest_of(listed), "objects": listed})


def read_bundle(body: bytes) -> Result[Publication, list[Diagnostic]]:
    """Return the publication that `body` holds, refused whole if anything in it is wrong."""
    try:
        model = BundleModel.model_validate(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        return Err([Diagnostic(Code.BROKEN_SYNTAX, BUNDLE, str(error))])
    except ValidationError as error:
        return Err([Diagnostic(Code.BROKEN_OBJECT, BUNDLE, describe_first_error(error))])
    if digest_of(model.objects) != model.digest:
        return Err([Diagnostic(Code.DIGEST_CONFLICT, BUNDLE, "the objects have another digest")])
    objects: list[PublishedObject] = []
    faults: list[Diagnostic] = []
    for raw in model.objects:
        read = parse_object(raw)
        if isinstance(read, Err):
            faults.extend(read.err_value)
            continue
        objects.append(read.ok_value)
    if faults:
        return Err(faults)
    return build_publication(model.version, model.digest, objects)

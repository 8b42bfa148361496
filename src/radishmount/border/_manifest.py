"""The manifest, for a bundle that exceeds the size limit of one value of the platform.

Such a bundle is split into pieces. The pieces are published first, and the manifest last, under the
key of the bundle. The key of each piece contains the version, so pieces of two versions never mix.
"""

from hashlib import sha256
from typing import Annotated

import orjson
from pydantic import Field, ValidationError

from radishmount.border._models import BorderModel


__all__ = [
    "BUNDLE_KEY",
    "MAX_VALUE_BYTES",
    "ManifestModel",
    "join_pieces",
    "parse_manifest",
    "split_bundle",
]

BUNDLE_KEY = "radishmount/bundle"
MAX_VALUE_BYTES = 1_000_000
MAX_PIECES = 32
MANIFEST_PREFIX = b'{"manifest":'


class ManifestModel(BorderModel):
    """The keys of the pieces of one version, with size and digest of the whole bundle."""

    version: Annotated[int, Field(ge=1)]
    total_bytes: Annotated[int, Field(ge=1, le=MAX_PIECES * MAX_VALUE_BYTES)]
    sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    pieces: Annotated[
        list[Annotated[str, Field(pattern=r"^[A-Za-z0-9._/-]{1,200}$")]],
        Field(min_length=1, max_length=MAX_PIECES),
    ]


def split_bundle(version: int, body: bytes) -> dict[str, bytes]:
    """Return the values to publish for the bundle `body`, by key, in order of publication."""
    if len(body) <= MAX_VALUE_BYTES:
        return {BUNDLE_KEY: body}
    values = {}
    for start in range(0, len(body), MAX_VALUE_BYTES):
        key = f"{BUNDLE_KEY}/{version}/{start // MAX_VALUE_BYTES}"
        values[key] = body[start : start + MAX_VALUE_BYTES]
    manifest = ManifestModel(
        version=version,
        total_bytes=len(body),
        sha256=sha256(body).hexdigest(),
        pieces=list(values),
    )
    values[BUNDLE_KEY] = orjson.dumps({"manifest": manifest.model_dump()})
    return values


def parse_manifest(value: bytes) -> ManifestModel | None:
    """Parse `value` as a manifest; return None if it is a bundle.

    Raises ValueError if the manifest is invalid.
    """
    if not value.startswith(MANIFEST_PREFIX):
        return None
    try:
        return ManifestModel.model_validate(orjson.loads(value)["manifest"])
    except (ValidationError, KeyError, orjson.JSONDecodeError) as error:
        raise ValueError(f"invalid manifest: {error!r}") from error


def join_pieces(manifest: ManifestModel, pieces: list[bytes]) -> bytes | None:
    """Return the bundle joined from `pieces`, or None if it does not match `manifest`."""
    body = b"".join(pieces)
    if len(body) != manifest.total_bytes or sha256(body).hexdigest() != manifest.sha256:
        return None
    return body

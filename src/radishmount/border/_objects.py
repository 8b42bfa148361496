"""Published objects: from validated models to data classes, and the bundle."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256
from typing import Annotated, Any, Literal

import orjson
from pydantic import Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from radishmount.border._models import BorderModel, describe_fault
from radishmount.codes import Code
from radishmount.publication import (
    Caller,
    Collection,
    DataCentre,
    EndpointSpec,
    Fault,
    KeyRange,
    Part,
    Preference,
    Publication,
    PublishedObject,
    Rule,
    Service,
    Shard,
    check_objects,
    check_publication,
)


__all__ = [
    "Bundle",
    "digest_of",
    "object_from",
    "publication_from",
    "read_bundle",
    "write_bundle",
]

MS_BY_UNIT = {"ms": 1.0, "s": 1_000.0, "min": 60_000.0}
PER_S_BY_UNIT = {"/s": 1.0, "/min": 1.0 / 60.0}
QUANTITY_PATTERN = re.compile(r"^(\d+(?:\.\d+)?)\s*(\D+)$")

Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9._-]+$")]


class KeysModel(BorderModel):
    """A half-open range of keys; no `to` means no upper end."""

    from_: Annotated[str, Field(alias="from")] = ""
    to: str | None = None

    def to_data(self) -> KeyRange:
        """Return the range as a data class."""
        return KeyRange(self.from_, self.to)


class DataCentreModel(BorderModel):
    """A `data-centre` object."""

    kind: Literal["data-centre"]
    name: Name
    region: Name

    def to_data(self) -> DataCentre:
        """Return the object as a data class."""
        return DataCentre(self.name, self.region)


class EndpointModel(BorderModel):
    """One endpoint within a `service` object."""

    name: Name
    data_centre: Name
    address: Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class ServiceModel(BorderModel):
    """A `service` object."""

    kind: Literal["service"]
    name: Name
    slots: int
    connections: int
    connect_time: str = "0ms"
    reports_load: bool = True
    endpoints: list[EndpointModel]

    def to_data(self) -> Service:
        """Return the object as a data class."""
        specs = tuple(EndpointSpec(e.name, e.data_centre, e.address) for e in self.endpoints)
        return Service(
            name=self.name,
            slots=self.slots,
            connections=self.connections,
            endpoints=specs,
            connect_ms=_quantity(self.connect_time, MS_BY_UNIT),
            reports_load=self.reports_load,
        )


class PartModel(BorderModel):
    """One named part within a `collection` object."""

    name: Name
    keys: KeysModel


class CollectionModel(BorderModel):
    """A `collection` object."""

    kind: Literal["collection"]
    name: Name
    parts: list[PartModel]

    def to_data(self) -> Collection:
        """Return the object as a data class."""
        parts = tuple(Part(part.name, part.keys.to_data()) for part in self.parts)
        return Collection(self.name, parts)


class ShardModel(BorderModel):
    """A `shard` object."""

    kind: Literal["shard"]
    name: Name
    collection: Name
    service: Name
    keys: KeysModel
    since: Annotated[int, Field(ge=1)] = 1
    until: int | None = None

    def to_data(self) -> Shard:
        """Return the object as a data class."""
        keys = self.keys.to_data()
        return Shard(self.name, self.collection, self.service, keys, self.since, self.until)


class RuleModel(BorderModel):
    """A `rule` object."""

    kind: Literal["rule"]
    name: Name
    target: Name
    prefer: Literal["coverage", "tail"]
    deadline: str
    hedge_ratio: Annotated[float, Field(ge=0.0, le=1.0)] = 0.05
    quota: str
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    idempotent: bool = True

    def to_data(self) -> Rule:
        """Return the object as a data class."""
        return Rule(
            name=self.name,
            target=self.target,
            prefer=Preference(self.prefer),
            deadline_ms=_quantity(self.deadline, MS_BY_UNIT),
            hedge_ratio=self.hedge_ratio,
            quota_per_s=_quantity(self.quota, PER_S_BY_UNIT),
            priority=self.priority,
            idempotent=self.idempotent,
        )


class CallerModel(BorderModel):
    """A `caller` object."""

    kind: Literal["caller"]
    name: Name
    data_centre: Name
    rules: list[Name]

    def to_data(self) -> Caller:
        """Return the object as a data class."""
        return Caller(self.name, self.data_centre, tuple(self.rules))


AnyModel = Annotated[
    DataCentreModel | ServiceModel | CollectionModel | ShardModel | RuleModel | CallerModel,
    Field(discriminator="kind"),
]
ADAPTER: TypeAdapter[Any] = TypeAdapter(AnyModel)


class UnknownUnit(ValueError):
    """A quantity whose unit is not one that the field takes."""


@dataclass(frozen=True, slots=True)
class Bundle:
    """A version of the whole set as it is published: the objects as operators wrote them."""

    version: int
    digest: str
    objects: tuple[dict[str, Any], ...]


class BundleModel(BorderModel):
    """A bundle, before its objects are read."""

    version: Annotated[int, Field(ge=1)]
    digest: str
    objects: list[dict[str, Any]]


def object_from(raw: object) -> Result[PublishedObject, Fault]:
    """Return one published object, or the fault that it has."""
    try:
        return Ok(ADAPTER.validate_python(raw).to_data())
    except ValidationError as error:
        return Err(Fault(Code.BROKEN_OBJECT, _subject(raw), describe_fault(error)))
    except UnknownUnit as error:
        return Err(Fault(Code.UNKNOWN_UNIT, _subject(raw), str(error)))


def publication_from(
    version: int, digest: str, objects: Iterable[PublishedObject]
) -> Result[Publication, list[Fault]]:
    """Return the publication of `objects`, checked as one, or every fault of it."""
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
    faults = [*check_objects(listed), *check_publication(publication)]
    return Err(faults) if faults else Ok(publication)


def digest_of(objects: Iterable[dict[str, Any]]) -> str:
    """Return the digest of `objects`, which does not depend on their order or spacing."""
    lines = sorted(orjson.dumps(item, option=orjson.OPT_SORT_KEYS) for item in objects)
    return sha256(b"\n".join(lines)).hexdigest()


def write_bundle(version: int, objects: Iterable[dict[str, Any]]) -> bytes:
    """Return the bundle of `objects` as it is published."""
    listed = list(objects)
    return orjson.dumps({"version": version, "digest": digest_of(listed), "objects": listed})


def read_bundle(body: bytes) -> Result[Publication, list[Fault]]:
    """Return the publication that `body` holds, refused whole if anything in it is wrong."""
    try:
        model = BundleModel.model_validate(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        return Err([Fault(Code.BROKEN_SYNTAX, "bundle", str(error))])
    except ValidationError as error:
        return Err([Fault(Code.BROKEN_OBJECT, "bundle", describe_fault(error))])
    if digest_of(model.objects) != model.digest:
        return Err([Fault(Code.DIGEST_CONFLICT, "bundle", "the objects have another digest")])
    objects: list[PublishedObject] = []
    faults: list[Fault] = []
    for raw in model.objects:
        match object_from(raw):
            case Ok(item):
                objects.append(item)
            case Err(fault):
                faults.append(fault)
    if faults:
        return Err(faults)
    return publication_from(model.version, model.digest, objects)


def _quantity(text: str, factor_by_unit: dict[str, float]) -> float:
    match = QUANTITY_PATTERN.match(text.strip())
    if match is None or match[2] not in factor_by_unit:
        raise UnknownUnit(f"{text!r} has none of the units {', '.join(factor_by_unit)}")
    return float(match[1]) * factor_by_unit[match[2]]


def _subject(raw: object) -> str:
    if not isinstance(raw, dict):
        return "object"
    return f"{raw.get('kind', 'object')}/{raw.get('name', '?')}"

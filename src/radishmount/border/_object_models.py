"""The validated models of published objects, in the format that operators write."""

from typing import Annotated, Any, Literal

from pydantic import AfterValidator, Field, TypeAdapter

from radishmount.border._models import BorderModel, IndexVersion, Key, Name
from radishmount.border._quantities import Duration, Limit, Rate, ReachableAddress, require_positive
from radishmount.publication import (
    Caller,
    Collection,
    DataCentre,
    EndpointSpec,
    Evacuation,
    KeyRange,
    Part,
    Preference,
    Rule,
    Service,
    Shard,
)


__all__ = ["OBJECT_ADAPTER"]


class KeysModel(BorderModel):
    """A half-open range of keys; no `to` means no upper end."""

    from_: Annotated[Key, Field(alias="from")] = ""
    to: Key | None = None

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
    address: ReachableAddress


class ServiceModel(BorderModel):
    """A `service` object."""

    kind: Literal["service"]
    name: Name
    slots: Limit
    connections: Limit
    connect_time: Duration = 0.0
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
            connect_ms=self.connect_time,
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
    since: IndexVersion = 1
    until: IndexVersion | None = None

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
    deadline: Annotated[Duration, AfterValidator(require_positive)]
    hedge_ratio: Annotated[float, Field(ge=0.0, le=1.0)] = 0.05
    quota: Annotated[Rate, AfterValidator(require_positive)]
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    idempotent: bool = True

    def to_data(self) -> Rule:
        """Return the object as a data class."""
        return Rule(
            name=self.name,
            target=self.target,
            prefer=Preference(self.prefer),
            deadline_ms=self.deadline,
            hedge_ratio=self.hedge_ratio,
            quota_per_s=self.quota,
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


class EvacuationModel(BorderModel):
    """An `evacuation` object; it is in force while it is published."""

    kind: Literal["evacuation"]
    name: Name
    data_centre: Name

    def to_data(self) -> Evacuation:
        """Return the object as a data class."""
        return Evacuation(self.name, self.data_centre)


ObjectModel = Annotated[
    DataCentreModel
    | ServiceModel
    | CollectionModel
    | ShardModel
    | RuleModel
    | CallerModel
    | EvacuationModel,
    Field(discriminator="kind"),
]
OBJECT_ADAPTER: TypeAdapter[Any] = TypeAdapter(ObjectModel)

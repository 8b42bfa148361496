"""The validated models of messages between instances.

Each model has the same fields as its data class, in the same order.
"""

from dataclasses import fields
from functools import cache
from typing import Annotated, Any, ClassVar, Self

from pydantic import ConfigDict, Field, model_validator

from radishmount.border._models import BorderModel
from radishmount.fleet import (
    BundlePiece,
    BundleRequest,
    EndpointChanges,
    Heartbeat,
    Instance,
    InstanceState,
    ListReply,
    ListRequest,
    MemberState,
    MemberUpdate,
    PaceNews,
    Ping,
    ProbeReply,
    ProbeRequest,
    RosterDigest,
    RosterNews,
)


__all__ = [
    "EndpointName",
    "MAX_PIECE_BYTES",
    "PEER_MODELS",
    "PeerModel",
    "defaults_of",
    "values_of",
]

MAX_PIECE_BYTES = 64 * 1024
SCALAR_TYPES = frozenset({str, int, float, bool, bytes})
MAX_UPDATES = 1000
MAX_SLOW_ENDPOINTS = 500
MAX_INSTANCES = 2000
MAX_ENDPOINTS = 10_000

PeerName = Annotated[str, Field(min_length=1, max_length=100)]
EndpointName = Annotated[str, Field(min_length=1, max_length=200)]  # as in published objects
Address = Annotated[str, Field(max_length=100)]
NonNegativeInt = Annotated[int, Field(ge=0, lt=2**63)]


@cache
def _names_of_model(model: type[BorderModel]) -> tuple[str, ...]:
    """Return the names of the fields; pydantic collects them anew for each access."""
    return tuple(model.model_fields)


@cache
def _names_of_data(data_type: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(data_type))


class PeerModel(BorderModel):
    """A message that is encoded as the list of its field values, in the order of the fields.

    The last `omittable_fields` are left out from the end while they have their defaults, and may be
    missing in what comes in. So fields can be added that earlier versions do not know.
    """

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)
    data_type: ClassVar[type]
    omittable_fields: ClassVar[int] = 0

    @classmethod
    def from_values(cls, values: Any) -> "PeerModel":
        """Return the model with the field values `values`; raise ValidationError if invalid."""
        names = _names_of_model(cls)
        if isinstance(values, list) and 0 < len(names) - len(values) <= cls.omittable_fields:
            names = names[: len(values)]
        if not isinstance(values, list) or len(values) != len(names):
            return cls.model_validate(values)
        return cls.model_validate(dict(zip(names, values, strict=True)))

    def to_data(self) -> Any:
        """Return the message as a data class."""
        return self.data_type(*[getattr(self, name) for name in _names_of_model(type(self))])


class MemberUpdateModel(PeerModel):
    """A change of state of one instance."""

    data_type = MemberUpdate
    name: PeerName
    incarnation: NonNegativeInt
    sequence: NonNegativeInt
    state: Annotated[MemberState, Field(strict=False)]


class HeartbeatModel(PeerModel):
    """The regular sign of life of an instance, with its state and versions."""

    data_type = Heartbeat
    sequence: NonNegativeInt
    state: Annotated[MemberState, Field(strict=False)]
    load: Annotated[float, Field(ge=0.0, le=1000.0)]
    bundle_version: NonNegativeInt
    bundle_digest: Annotated[str, Field(max_length=128)]
    list_version: NonNegativeInt
    list_age_ms: Annotated[float, Field(ge=0.0)]
    list_digest: NonNegativeInt
    updates: Annotated[list[Any], Field(max_length=MAX_UPDATES)]

    def to_data(self) -> Heartbeat:
        """Return the message as a data class."""
        updates = tuple(MemberUpdateModel.from_values(item).to_data() for item in self.updates)
        return Heartbeat(
            self.sequence,
            self.state,
            self.load,
            self.bundle_version,
            self.bundle_digest,
            self.list_version,
            self.list_age_ms,
            self.list_digest,
            updates,
        )


class PingModel(PeerModel):
    """Asks for a heartbeat now."""

    data_type = Ping


class ProbeRequestModel(PeerModel):
    """Asks a peer to probe a third instance."""

    data_type = ProbeRequest
    target: PeerName


class ProbeReplyModel(PeerModel):
    """Reports whether the third instance answered the probe."""

    data_type = ProbeReply
    reachable: bool


class BundleRequestModel(PeerModel):
    """Asks for a piece of the bundle."""

    data_type = BundleRequest
    version: NonNegativeInt
    offset: NonNegativeInt


class BundlePieceModel(PeerModel):
    """A piece of the bundle."""

    data_type = BundlePiece
    version: NonNegativeInt
    digest: Annotated[str, Field(max_length=128)]
    total_bytes: NonNegativeInt
    offset: NonNegativeInt
    content: Annotated[bytes, Field(max_length=MAX_PIECE_BYTES)]


class ListRequestModel(PeerModel):
    """Asks for an instance list that is newer than version `after`."""

    data_type = ListRequest
    after: NonNegativeInt


class InstanceModel(PeerModel):
    """One instance of the instance list."""

    data_type = Instance
    name: PeerName
    data_centre: PeerName
    caller_address: Address
    peer_address: Address
    state: Annotated[InstanceState, Field(strict=False)]
    capacity: Annotated[float, Field(ge=0.0, strict=False)]


class ListReplyModel(PeerModel):
    """The instance list."""

    data_type = ListReply
    version: NonNegativeInt
    instances: Annotated[list[Any], Field(max_length=MAX_INSTANCES)]
    leaving_endpoints: Annotated[list[EndpointName], Field(max_length=MAX_ENDPOINTS)]

    def to_data(self) -> ListReply:
        """Return the message as a data class."""
        instances = tuple(InstanceModel.from_values(item).to_data() for item in self.instances)
        return ListReply(self.version, instances, tuple(self.leaving_endpoints))


class RosterDigestModel(PeerModel):
    """A digest of the instances that the sender knows."""

    data_type = RosterDigest
    digest: NonNegativeInt


class RosterNewsModel(PeerModel):
    """Instances that the receiver may not yet know."""

    data_type = RosterNews
    instances: Annotated[list[Any], Field(max_length=MAX_INSTANCES)]

    def to_data(self) -> RosterNews:
        """Return the message as a data class."""
        return RosterNews(tuple(InstanceModel.from_values(i).to_data() for i in self.instances))


class PaceNewsModel(PeerModel):
    """Endpoints that the instance `origin` found slow, and their latencies in milliseconds."""

    data_type = PaceNews
    origin: PeerName
    number: NonNegativeInt
    endpoints: Annotated[list[EndpointName], Field(max_length=MAX_SLOW_ENDPOINTS)]
    paces: Annotated[list[NonNegativeInt], Field(max_length=MAX_SLOW_ENDPOINTS)]
    is_confirmed: bool

    def to_data(self) -> PaceNews:
        """Return the message as a data class."""
        endpoints, paces = tuple(self.endpoints), tuple(self.paces)
        return PaceNews(self.origin, self.number, endpoints, paces, self.is_confirmed)

    @model_validator(mode="after")
    def check_lengths(self) -> Self:
        """Raise ValueError unless there is one pace for each endpoint."""
        if len(self.endpoints) != len(self.paces):
            raise ValueError("endpoints and paces must have the same length")
        return self


class EndpointChangesModel(PeerModel):
    """Endpoints that announced that they are leaving."""

    data_type = EndpointChanges
    leaving: Annotated[list[EndpointName], Field(max_length=MAX_ENDPOINTS)]

    def to_data(self) -> EndpointChanges:
        """Return the message as a data class."""
        return EndpointChanges(tuple(self.leaving))


PEER_MODELS: tuple[type[PeerModel], ...] = (
    HeartbeatModel,
    PingModel,
    ProbeRequestModel,
    ProbeReplyModel,
    BundleRequestModel,
    BundlePieceModel,
    ListRequestModel,
    ListReplyModel,
    EndpointChangesModel,
    RosterDigestModel,
    RosterNewsModel,
    PaceNewsModel,
)


def values_of(message: Any) -> list[Any]:
    """Return the field values of a data class in order; nested data classes become lists."""
    data_type: type = type(message)
    return [_plain_value(getattr(message, name)) for name in _names_of_data(data_type)]


def defaults_of(message: Any) -> list[Any]:
    """Return the defaults of the fields of a data class, as `values_of` returns values."""
    return [_plain_value(field.default) for field in fields(message)]


def _plain_value(value: Any) -> Any:
    if type(value) in SCALAR_TYPES:
        return value
    if hasattr(value, "__dataclass_fields__"):
        return values_of(value)
    if isinstance(value, tuple | list):
        return [_plain_value(item) for item in value]
    return value

"""The validated models of messages between instances about listed endpoints."""

from typing import Annotated, Any

from pydantic import Field

from radishmount.border._endpoint_fields import (
    ColdTime,
    DataCentreName,
    EndpointAddress,
    ListedName,
    ServiceName,
    SlotCount,
    StartTime,
)
from radishmount.border._peer_models import NonNegativeInt, PeerModel
from radishmount.discovery import (
    EndpointPage,
    EndpointPageRequest,
    ListedEndpoint,
    StoreEra,
    StoreNews,
    ViewCheckRequest,
)


__all__ = ["ENDPOINT_PEER_MODELS"]

MAX_PAGE_LENGTH = 1_000
MAX_EVACUATED = 1_000  # above what instances send

EvacuatedNames = Annotated[list[DataCentreName], Field(max_length=MAX_EVACUATED)]


class EndpointPageRequestModel(PeerModel):
    """Requests a page of endpoints, sorted by name, after the name `after`."""

    data_type = EndpointPageRequest
    after: Annotated[str, Field(max_length=200)]


class ListedEndpointModel(PeerModel):
    """One listed endpoint."""

    data_type = ListedEndpoint
    name: ListedName
    service: ServiceName
    address: EndpointAddress
    data_centre: DataCentreName
    slots: SlotCount
    is_draining: bool
    cold_for_ms: ColdTime
    started_at_ms: StartTime


class EndpointPageModel(PeerModel):
    """One page of endpoints."""

    data_type = EndpointPage
    omittable_fields = 2
    revision: NonNegativeInt
    endpoints: Annotated[list[Any], Field(max_length=MAX_PAGE_LENGTH)]
    has_more: bool
    missing: Annotated[list[ListedName], Field(max_length=MAX_PAGE_LENGTH)]
    evacuated: EvacuatedNames | None = None
    era: NonNegativeInt = 0

    def to_data(self) -> EndpointPage:
        """Return the message as a data class."""
        endpoints = tuple(ListedEndpointModel.from_values(e).to_data() for e in self.endpoints)
        missing = tuple(self.missing)
        evacuated = None if self.evacuated is None else tuple(self.evacuated)
        return EndpointPage(self.revision, endpoints, self.has_more, missing, evacuated, self.era)


class StoreNewsModel(PeerModel):
    """Changes in the store between two revisions."""

    data_type = StoreNews
    omittable_fields = 2
    after: NonNegativeInt
    revision: NonNegativeInt
    endpoints: Annotated[list[Any], Field(max_length=MAX_PAGE_LENGTH)]
    removed: Annotated[list[ListedName], Field(max_length=MAX_PAGE_LENGTH)]
    missing: Annotated[list[ListedName], Field(max_length=MAX_PAGE_LENGTH)]
    evacuated: EvacuatedNames | None = None
    era: NonNegativeInt = 0

    def to_data(self) -> StoreNews:
        """Return the message as a data class."""
        endpoints = tuple(ListedEndpointModel.from_values(e).to_data() for e in self.endpoints)
        removed, missing = tuple(self.removed), tuple(self.missing)
        evacuated = None if self.evacuated is None else tuple(self.evacuated)
        return StoreNews(
            self.after, self.revision, endpoints, removed, missing, evacuated, self.era
        )


class ViewCheckRequestModel(PeerModel):
    """Asks a watcher to call the store."""

    data_type = ViewCheckRequest
    era: NonNegativeInt


class StoreEraModel(PeerModel):
    """The era of the store that the sender knows."""

    data_type = StoreEra
    era: NonNegativeInt
    list_age_ms: Annotated[float, Field(ge=0.0)]


ENDPOINT_PEER_MODELS: tuple[type[PeerModel], ...] = (
    EndpointPageRequestModel,
    EndpointPageModel,
    StoreNewsModel,
    StoreEraModel,
    ViewCheckRequestModel,
)

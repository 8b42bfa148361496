"""The messages between instances about listed endpoints."""

from dataclasses import dataclass

from radishmount.discovery._listed_endpoint import ListedEndpoint
from radishmount.discovery._position import StorePosition


__all__ = ["EndpointPage", "EndpointPageRequest", "StoreEra", "StoreNews", "ViewCheckRequest"]


@dataclass(frozen=True, slots=True)
class StoreEra:
    """The era of the store to which all later heartbeats of the sender refer.

    Each stream begins with it, so a peer that has not sent it is of a version that knows no eras.
    It is a message of its own, as heartbeats are read by those versions too. `list_age_ms` is the
    time since the sender's list was last confirmed to be the newest.
    """

    era: int
    list_age_ms: float


@dataclass(frozen=True, slots=True)
class ViewCheckRequest:
    """Asks a watcher to call the store at once, as the sender's store answers from before `era`.

    The answer is a `StoreEra`.
    """

    era: int


@dataclass(frozen=True, slots=True)
class StoreNews:
    """The changes in the store after the revision `after`, up to `revision`, within an era.

    `missing` names endpoints whose entries are gone but may only have lapsed in an outage.
    `evacuated` names all data centres that are evacuated at `revision`, none if the changes do not
    concern that.
    """

    after: int
    revision: int
    endpoints: tuple[ListedEndpoint, ...] = ()
    removed: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
    evacuated: tuple[str, ...] | None = None
    era: int = 0

    @property
    def after_position(self) -> StorePosition:
        """Return the position that the changes go on from."""
        return StorePosition(self.era, self.after)

    @property
    def position(self) -> StorePosition:
        """Return the position up to which these are all changes."""
        return StorePosition(self.era, self.revision)

    @property
    def length(self) -> int:
        """Return the number of endpoints that changed."""
        return len(self.endpoints) + len(self.removed) + len(self.missing)

    def followed_by(self, news: "StoreNews") -> "StoreNews":
        """Return this and later changes of the same era as one; there must be none between them."""
        changed = {*(e.name for e in news.endpoints), *news.removed, *news.missing}
        return StoreNews(
            after=min(self.after, news.after),
            revision=news.revision,
            endpoints=(*(e for e in self.endpoints if e.name not in changed), *news.endpoints),
            removed=(*(n for n in self.removed if n not in changed), *news.removed),
            missing=(*(n for n in self.missing if n not in changed), *news.missing),
            evacuated=self.evacuated if news.evacuated is None else news.evacuated,
            era=news.era,
        )


@dataclass(frozen=True, slots=True)
class EndpointPageRequest:
    """Requests a page of endpoints, those whose names sort after `after`."""

    after: str


@dataclass(frozen=True, slots=True)
class EndpointPage:
    """A page of the endpoints that the sender lists, by name, at a revision of the store.

    `missing` names endpoints whose entries are gone but may only have lapsed in an outage.
    `evacuated` names all data centres that are evacuated, none if the page does not tell: none is
    evacuated there, or the sender is of a version that does not know of evacuations.
    """

    revision: int
    endpoints: tuple[ListedEndpoint, ...]
    has_more: bool
    missing: tuple[str, ...] = ()
    evacuated: tuple[str, ...] | None = None
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the position of the store at which the sender lists the endpoints."""
        return StorePosition(self.era, self.revision)

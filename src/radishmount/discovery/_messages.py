"""The messages between instances about listed endpoints."""

from dataclasses import dataclass

from radishmount.discovery._listed_endpoint import ListedEndpoint


__all__ = ["EndpointPage", "EndpointPageRequest", "StoreNews"]


@dataclass(frozen=True, slots=True)
class StoreNews:
    """The changes in the store after the revision `after`, up to `revision`.

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

    @property
    def length(self) -> int:
        """Return the number of endpoints that changed."""
        return len(self.endpoints) + len(self.removed) + len(self.missing)

    def followed_by(self, news: "StoreNews") -> "StoreNews":
        """Return this and later changes as one; there must be none between them."""
        changed = {*(e.name for e in news.endpoints), *news.removed, *news.missing}
        return StoreNews(
            after=min(self.after, news.after),
            revision=news.revision,
            endpoints=(*(e for e in self.endpoints if e.name not in changed), *news.endpoints),
            removed=(*(n for n in self.removed if n not in changed), *news.removed),
            missing=(*(n for n in self.missing if n not in changed), *news.missing),
            evacuated=self.evacuated if news.evacuated is None else news.evacuated,
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

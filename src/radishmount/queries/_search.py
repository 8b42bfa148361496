"""A search as it was asked, and its answer."""

from dataclasses import dataclass

from radishmount.endpoints import Row, SearchTerms
from radishmount.publication import Collection, Rule
from radishmount.snapshots import Coverage


__all__ = ["SearchAnswer", "Search", "SearchCall"]


@dataclass(frozen=True, slots=True)
class SearchCall:
    """A search as a caller asks for it. Without `deadline_ms` the rule's deadline holds."""

    caller: str
    collection: str
    terms: SearchTerms
    deadline_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Search:
    """One search of a caller, bound by `rule`.

    `deadline_at_ms` is a time of the clock, `deadline_ms` after the search came.
    """

    request_id: str
    caller: str
    collection: Collection
    rule: Rule
    terms: SearchTerms
    deadline_at_ms: float
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """The merged rows of one snapshot, with the coverage that they have."""

    request_id: str
    index_version: int
    rows: tuple[Row, ...]
    coverage: Coverage
    sub_requests: int

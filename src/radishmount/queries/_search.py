"""A search as the caller sent it, as it is run, and its answer."""

from dataclasses import dataclass

from radishmount.endpoints import Row, SearchTerms
from radishmount.publication import Collection, Rule
from radishmount.snapshots import Coverage


__all__ = ["SearchAnswer", "Search", "SearchCall"]


@dataclass(frozen=True, slots=True)
class SearchCall:
    """A search as the caller sent it. Without `deadline_ms` the deadline of the rule applies."""

    caller: str
    collection: str
    terms: SearchTerms
    deadline_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Search:
    """One search of a caller under `rule`.

    `deadline_at_ms` is the deadline by the clock, `deadline_ms` the time from the arrival of the
    search until then.
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
    """The merged rows of one snapshot, and their coverage."""

    request_id: str
    index_version: int
    rows: tuple[Row, ...]
    coverage: Coverage
    sub_requests: int

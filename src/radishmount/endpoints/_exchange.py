"""Requests to endpoints, their replies, and the channel between, independent of encodings."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from result import Result

from radishmount.codes import Code, RunStatus
from radishmount.publication import ALL_KEYS, KeyRange


if TYPE_CHECKING:
    from radishmount.endpoints._order_exchange import OrderAttemptOutcome, OrderRequest


__all__ = [
    "Channel",
    "Failure",
    "LoadReport",
    "OpenChannel",
    "SubRequestOutcome",
    "Row",
    "SearchTerms",
    "SubReply",
    "SubRequest",
]


@dataclass(frozen=True, slots=True)
class SearchTerms:
    """What a caller searches for. Only the endpoints interpret `text`.

    `limit` bounds the rows of the answer, `keys` the range of keys that is searched.
    """

    text: str
    limit: int = 20
    keys: KeyRange = ALL_KEYS


@dataclass(frozen=True, slots=True)
class SubRequest:
    """The part of a search that one shard answers from exactly one index version."""

    request_id: str
    attempt: int
    shard: str
    index_version: int
    deadline_at_ms: float
    terms: SearchTerms


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The state of an endpoint by its own report, which may be outdated or false.

    `in_flight` are the requests in its slots, `queued` those that wait for a slot, and `versions`
    the index versions that it holds. `pause_ms` is for how long it wants no requests from here.
    `slowdown` is how long work takes on its machine now, 1.0 as usual, and None if it does not
    say. `cold_ms` is for how much longer it is cold.
    """

    slots: int = 0
    in_flight: int = 0
    queued: int = 0
    draining: bool = False
    versions: frozenset[int] = frozenset()
    pause_ms: float = 0.0
    slowdown: float | None = None
    cold_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Row:
    """One hit. Rows are ordered by descending `score`, those with equal scores by `key`."""

    key: str
    score: float
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SubReply:
    """The rows of one shard at one index version, best first."""

    request_id: str
    attempt: int
    shard: str
    index_version: int
    rows: tuple[Row, ...]
    load: LoadReport

    def answers(self, request: SubRequest) -> bool:
        """Return whether this is the reply to `request`, from its shard and index version."""
        return (
            self.attempt == request.attempt
            and self.shard == request.shard
            and self.index_version == request.index_version
            and self.request_id == request.request_id
        )


@dataclass(frozen=True, slots=True)
class Failure:
    """Why an attempt has no reply. `ran` tells whether the endpoint may have run the request.

    `load` is the load report where the endpoint itself refused or failed the request.
    """

    code: Code
    ran: RunStatus = RunStatus.NOT_RUN
    detail: str = ""
    load: LoadReport | None = None


SubRequestOutcome = Result[SubReply, Failure]


class Channel(Protocol):
    """One connection to an endpoint, with at most one exchange at a time."""

    async def exchange(self, request: Any, remaining_ms: float) -> Result[Any, Failure]:
        """Send `request` and return the reply, or why there is none.

        The types depend on the protocol: `SubRequest` and `SubReply` for searches, `ForwardRequest`
        and `ForwardReply` for forwarded requests. `remaining_ms` is the time until the deadline.
        """

    async def place(self, request: "OrderRequest", remaining_ms: float) -> "OrderAttemptOutcome":
        """Send an order, and its body only if its gate releases it."""

    async def probe(self) -> Result[LoadReport, Failure]:
        """Request a load report, without any other work for the endpoint."""

    async def close(self) -> bool:
        """Close the connection; return whether the endpoint was seen to close its side.

        The next exchange or probe opens a new connection.
        """


OpenChannel = Callable[[str], Channel]

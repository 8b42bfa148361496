"""What is sent to an endpoint and what comes back, without any encoding."""

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
    """What a caller searches for: endpoints read `text`, the system reads `keys` and `limit`."""

    text: str
    limit: int = 20
    keys: KeyRange = ALL_KEYS


@dataclass(frozen=True, slots=True)
class SubRequest:
    """The part of a search that one shard answers, at exactly one index version."""

    request_id: str
    attempt: int
    shard: str
    index_version: int
    deadline_at_ms: float
    terms: SearchTerms


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint says of itself. It may lag or mislead."""

    slots: int = 0
    in_flight: int = 0
    queued: int = 0
    draining: bool = False
    versions: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class Row:
    """One hit; a higher `score` goes first, equal scores go by `key`."""

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
        """Tell whether this is the reply to `request`, of its shard and its version."""
        return (
            self.attempt == request.attempt
            and self.shard == request.shard
            and self.index_version == request.index_version
            and self.request_id == request.request_id
        )


@dataclass(frozen=True, slots=True)
class Failure:
    """Why an attempt brought no reply; `load` is there when the endpoint itself answered."""

    code: Code
    ran: RunStatus = RunStatus.NOT_RUN
    detail: str = ""
    load: LoadReport | None = None


SubRequestOutcome = Result[SubReply, Failure]


class Channel(Protocol):
    """One connection to an endpoint. It carries one exchange at a time."""

    async def exchange(self, request: Any, remaining_ms: float) -> Result[Any, Failure]:
        """Send `request` and return the reply, or why there is none.

        A front end and its channels agree on the types: `SubRequest` and `SubReply` for the
        product's own protocol, `ForwardRequest` and `ForwardReply` for forwarded requests.
        """

    async def place(self, request: "OrderRequest", remaining_ms: float) -> "OrderAttemptOutcome":
        """Send an order, whose body leaves only through its gate."""

    async def probe(self) -> Result[LoadReport, Failure]:
        """Ask the endpoint for its state without any work."""

    async def close(self) -> bool:
        """Close the connection; tell whether the endpoint was seen to close its side.

        The next exchange or probe opens a new one.
        """


OpenChannel = Callable[[str], Channel]

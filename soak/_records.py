"""What callers, endpoints and the operator saw in one run."""

from dataclasses import dataclass, field
from enum import StrEnum


__all__ = ["Asked", "Published", "Ran", "Records", "RequestKind"]


class RequestKind(StrEnum):
    """What a request is for."""

    GATHER = "gather"
    SINGLE = "single"
    ORDER = "order"
    MARK = "mark"


@dataclass(slots=True)
class Asked:
    """One request as its caller saw it. Times are in seconds on the clock of the run.

    `mark` is the version that alone has the route. `status` is none where no answer came.
    """

    request_id: str
    kind: RequestKind
    instance: str
    sent_at_s: float
    mark: int = 0
    ended_at_s: float | None = None
    status: int | None = None
    body: bytes = b""
    signatures: tuple[str, ...] = ()
    missing: int = 0


@dataclass(frozen=True, slots=True)
class Ran:
    """One request that an endpoint began to work on."""

    request_id: str
    service: str
    endpoint: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Published:
    """One version of the configuration, with the shards that it names."""

    version: int
    shards: tuple[str, ...]
    at_s: float


@dataclass(slots=True)
class Records:
    """Everything that was seen. Spans of trouble are pairs of seconds by name.

    `bodies_by_signature` holds what an endpoint sent under each signature; `drained_at_s` is when
    the store took an endpoint's word that it leaves; `known_by_instance` is how many instances each
    one told of at the end.
    """

    asked: list[Asked] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    published: list[Published] = field(default_factory=list)
    bodies_by_signature: dict[str, bytes] = field(default_factory=dict)
    drained_at_s_by_endpoint: dict[str, float] = field(default_factory=dict)
    troubles_by_name: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    starts_at_s_by_instance: dict[str, list[float]] = field(default_factory=dict)
    known_by_instance: dict[str, int] = field(default_factory=dict)
    own_exits: list[str] = field(default_factory=list)
    calm_from_s: float = float("inf")

    def trouble(self, name: str, began_s: float, ended_s: float) -> None:
        """Note that `name` was disturbed."""
        self.troubles_by_name.setdefault(name, []).append((began_s, ended_s))

    def was_calm(self, names: tuple[str, ...], since_s: float, until_s: float) -> bool:
        """Tell whether nothing disturbed any of `names` in a span."""
        for name in names:
            for began_s, ended_s in self.troubles_by_name.get(name, ()):
                if began_s <= until_s and ended_s >= since_s:
                    return False
        return True

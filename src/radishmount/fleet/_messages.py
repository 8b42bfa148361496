"""What instances say to each other. The border encodes and checks each of these."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from radishmount.codes import Refusal
from radishmount.fleet._instance import Instance


__all__ = [
    "BundlePiece",
    "BundleRequest",
    "EndpointChanges",
    "Frame",
    "Heartbeat",
    "ListReply",
    "ListRequest",
    "MemberState",
    "MemberUpdate",
    "Message",
    "Notice",
    "PaceNews",
    "PeerIdentity",
    "Ping",
    "ProbeReply",
    "ProbeRequest",
    "Request",
    "Response",
    "RosterNews",
]

Message = Any


class MemberState(StrEnum):
    """What is known of an instance. Only `suspected` is ever said by others than itself."""

    LIVE = "live"
    OVERLOADED = "overloaded"
    SUSPECTED = "suspected"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who is at the other end. `incarnation` tells one start of an instance from the next."""

    name: str
    data_centre: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A change of state of one instance, which travels from neighbour to neighbour.

    A higher incarnation goes before a lower one, then a higher sequence; an instance raises its
    own sequence each time that it says something new of itself.
    """

    name: str
    incarnation: int
    sequence: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Evidence that the sender lives, with the versions that it holds.

    `load` is the share of the sender's capacity in use; 1.0 means that it refuses work.
    `list_age_ms` is how long ago its list was last known to be the newest.
    """

    sequence: int
    state: MemberState
    load: float
    bundle_version: int
    bundle_digest: str
    list_version: int
    list_age_ms: float = 0.0
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a `Heartbeat` now."""


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a peer whether `target` answers it."""

    target: str


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Tells whether the target of a probe answered."""

    reachable: bool


@dataclass(frozen=True, slots=True)
class BundleRequest:
    """Asks for a piece of the bundle in force; `version` zero means whichever it is."""

    version: int
    offset: int


@dataclass(frozen=True, slots=True)
class BundlePiece:
    """A piece of a bundle of `total_bytes` in all."""

    version: int
    digest: str
    total_bytes: int
    offset: int
    content: bytes


@dataclass(frozen=True, slots=True)
class ListRequest:
    """Asks for the instance list if it is newer than version `after`."""

    after: int


@dataclass(frozen=True, slots=True)
class ListReply:
    """The instance list of the answering instance."""

    version: int
    instances: tuple[Instance, ...]
    leaving_endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RosterNews:
    """Instances that the receiver may not know yet, as each tells of itself."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class EndpointChanges:
    """Endpoints that have just told the sender that they are leaving."""

    leaving: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PaceNews:
    """Endpoints that `origin` found slow, and their latencies in milliseconds.

    `number` grows with what `origin` tells. What is not confirmed may be a usual pause; it is told
    to neighbours only, who look whether they see the same.
    """

    origin: str
    number: int
    endpoints: tuple[str, ...]
    paces: tuple[int, ...]
    is_confirmed: bool = True


@dataclass(frozen=True, slots=True)
class Notice:
    """A frame that wants no answer."""

    message: Message


@dataclass(frozen=True, slots=True)
class Request:
    """A frame that wants a `Response` under the same number."""

    number: int
    message: Message


@dataclass(frozen=True, slots=True)
class Response:
    """The answer to the request of the same number: a message, or why there is none."""

    number: int
    message: Message | Refusal


Frame = Notice | Request | Response

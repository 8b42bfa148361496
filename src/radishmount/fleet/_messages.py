"""The messages between instances. The border encodes and validates each of them."""

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
    "RosterDigest",
    "RosterNews",
]

Message = Any


class MemberState(StrEnum):
    """The state of an instance. All but `suspected` are announced by the instance itself only."""

    LIVE = "live"
    OVERLOADED = "overloaded"
    SUSPECTED = "suspected"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """The instance at one end of a stream; `incarnation` grows with each of its starts."""

    name: str
    data_centre: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A change of state of one instance, which is passed on from neighbour to neighbour.

    A higher incarnation supersedes a lower one; with equal incarnations, a higher sequence does. An
    instance raises its own sequence whenever it announces a new state.
    """

    name: str
    incarnation: int
    sequence: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is alive, and which versions it holds.

    `load` is the share of the sender's capacity in use; at 1.0 it refuses work. `list_age_ms` is
    the time since its list was last confirmed to be the newest, and `list_digest` a digest of it.
    """

    sequence: int
    state: MemberState
    load: float
    bundle_version: int
    bundle_digest: str
    list_version: int
    list_age_ms: float = 0.0
    list_digest: int = 0
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests a `Heartbeat` as the response."""


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Requests an indirect probe: the receiver pings `target`."""

    target: str


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Reports whether the target of an indirect probe answered."""

    reachable: bool


@dataclass(frozen=True, slots=True)
class BundleRequest:
    """Requests a piece of the active bundle, from `offset` on; `version` must be its version."""

    version: int
    offset: int


@dataclass(frozen=True, slots=True)
class BundlePiece:
    """A piece of a bundle; the whole bundle has `total_bytes`."""

    version: int
    digest: str
    total_bytes: int
    offset: int
    content: bytes


@dataclass(frozen=True, slots=True)
class ListRequest:
    """Requests the instance list; the sender holds version `after`."""

    after: int


@dataclass(frozen=True, slots=True)
class ListReply:
    """The instance list of the responding instance."""

    version: int
    instances: tuple[Instance, ...]
    leaving_endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RosterDigest:
    """A digest of all instances that the sender knows; it differs where their descriptions do."""

    digest: int


@dataclass(frozen=True, slots=True)
class RosterNews:
    """Instances that the receiver may not know yet, each as it describes itself."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class EndpointChanges:
    """Endpoints that have just announced to the sender that they are leaving."""

    leaving: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PaceNews:
    """Endpoints that `origin` found slow, and their latencies in milliseconds.

    `number` grows with each message of `origin`. While not confirmed, the latencies may come from
    a short pause of the endpoint; such a message is sent to neighbours only, which check whether
    they observe the same.
    """

    origin: str
    number: int
    endpoints: tuple[str, ...]
    paces: tuple[int, ...]
    is_confirmed: bool = True


@dataclass(frozen=True, slots=True)
class Notice:
    """A frame that expects no response."""

    message: Message


@dataclass(frozen=True, slots=True)
class Request:
    """A frame that expects a `Response` with the same number."""

    number: int
    message: Message


@dataclass(frozen=True, slots=True)
class Response:
    """The response to the request with the same number: a message or a refusal."""

    number: int
    message: Message | Refusal


Frame = Notice | Request | Response

"""The fleet of instances: membership, streams between peers, and addresses for callers."""

from radishmount.fleet._addresses import (
    ADDRESSES_VALID_FOR_MS,
    AddressAnswer,
    choose_addresses,
)
from radishmount.fleet._backoff import Backoff
from radishmount.fleet._cpu_meter import ControlCpuMeter
from radishmount.fleet._fleet import Fleet, InstanceList
from radishmount.fleet._freshness import REFRESH_TIMEOUT_MS, Freshness, make_freshness
from radishmount.fleet._held_versions import HeldVersions
from radishmount.fleet._incarnation import first_incarnation
from radishmount.fleet._instance import Instance, InstanceState
from radishmount.fleet._leaving_notifier import LeavingNotifier
from radishmount.fleet._list_sync import InstanceListSync
from radishmount.fleet._member_table import Member, MemberTable
from radishmount.fleet._membership import Membership
from radishmount.fleet._messages import (
    BundlePiece,
    BundleRequest,
    EndpointChanges,
    Frame,
    Heartbeat,
    ListReply,
    ListRequest,
    MemberState,
    MemberUpdate,
    Message,
    Notice,
    PaceNews,
    PeerIdentity,
    Ping,
    ProbeReply,
    ProbeRequest,
    Request,
    Response,
    RosterDigest,
    RosterNews,
)
from radishmount.fleet._neighbours import NEIGHBOUR_LIMIT, neighbours_of
from radishmount.fleet._peers import Peers, RequestHandler
from radishmount.fleet._platform_poller import (
    ApplyResult,
    InstanceListSource,
    InstanceListUpdater,
    PlatformPoller,
)
from radishmount.fleet._preferred import (
    FleetShares,
    choose_beside_replicas,
    choose_preferred,
    fleet_shares,
    preferred_names,
)
from radishmount.fleet._roster import Roster
from radishmount.fleet._session import PeerSession
from radishmount.fleet._slow_endpoints import SlowEndpointGossip, SlowEndpointHint
from radishmount.fleet._stream import OpenPeer, PeerStream
from radishmount.fleet._watchers import fallback_interval_ms, is_watcher


__all__ = [
    "ADDRESSES_VALID_FOR_MS",
    "AddressAnswer",
    "RequestHandler",
    "Backoff",
    "BundlePiece",
    "BundleRequest",
    "ControlCpuMeter",
    "EndpointChanges",
    "LeavingNotifier",
    "Fleet",
    "Frame",
    "Freshness",
    "Heartbeat",
    "HeldVersions",
    "Instance",
    "InstanceList",
    "InstanceListSource",
    "InstanceState",
    "ListReply",
    "ListRequest",
    "InstanceListSync",
    "InstanceListUpdater",
    "Member",
    "MemberState",
    "MemberUpdate",
    "MemberTable",
    "Membership",
    "Message",
    "NEIGHBOUR_LIMIT",
    "Notice",
    "PaceNews",
    "SlowEndpointHint",
    "SlowEndpointGossip",
    "OpenPeer",
    "PeerIdentity",
    "PeerSession",
    "PeerStream",
    "Peers",
    "Ping",
    "PlatformPoller",
    "ProbeReply",
    "ProbeRequest",
    "REFRESH_TIMEOUT_MS",
    "Request",
    "Response",
    "Roster",
    "RosterDigest",
    "RosterNews",
    "ApplyResult",
    "choose_addresses",
    "FleetShares",
    "preferred_names",
    "choose_beside_replicas",
    "choose_preferred",
    "fleet_shares",
    "fallback_interval_ms",
    "first_incarnation",
    "is_watcher",
    "make_freshness",
    "neighbours_of",
]

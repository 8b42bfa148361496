"""The instances of the fleet, and the addresses that callers are given."""

from radishmount.fleet._addresses import (
    ADDRESSES_VALID_FOR_MS,
    AddressAnswer,
    choose_addresses,
)
from radishmount.fleet._backoff import Backoff
from radishmount.fleet._carriers import FleetShares, carriers_of, choose_nearest, fleet_shares
from radishmount.fleet._cost import ControlCost
from radishmount.fleet._duty import fallback_interval_ms, is_watcher
from radishmount.fleet._endpoint_news import EndpointNews
from radishmount.fleet._fleet import Fleet, InstanceList
from radishmount.fleet._freshness import RENEWAL_LIMIT_MS, Freshness, make_freshness
from radishmount.fleet._incarnation import first_incarnation
from radishmount.fleet._instance import Instance, InstanceState
from radishmount.fleet._list_spread import ListSpread
from radishmount.fleet._members import Member, Members
from radishmount.fleet._membership import HeldVersions, Membership
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
    RosterNews,
)
from radishmount.fleet._neighbours import NEIGHBOUR_LIMIT, neighbours_of
from radishmount.fleet._pace_news import PaceHint, PaceSpread
from radishmount.fleet._peers import AnswerPeer, Peers
from radishmount.fleet._roster import Roster
from radishmount.fleet._session import PeerSession
from radishmount.fleet._stream import OpenPeer, PeerStream
from radishmount.fleet._watch import InstanceListSource, ListWatch, PlatformWatch, Taken


__all__ = [
    "ADDRESSES_VALID_FOR_MS",
    "AddressAnswer",
    "AnswerPeer",
    "Backoff",
    "BundlePiece",
    "BundleRequest",
    "ControlCost",
    "EndpointChanges",
    "EndpointNews",
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
    "ListSpread",
    "ListWatch",
    "Member",
    "MemberState",
    "MemberUpdate",
    "Members",
    "Membership",
    "Message",
    "NEIGHBOUR_LIMIT",
    "Notice",
    "PaceNews",
    "PaceHint",
    "PaceSpread",
    "OpenPeer",
    "PeerIdentity",
    "PeerSession",
    "PeerStream",
    "Peers",
    "Ping",
    "PlatformWatch",
    "ProbeReply",
    "ProbeRequest",
    "RENEWAL_LIMIT_MS",
    "Request",
    "Response",
    "Roster",
    "RosterNews",
    "Taken",
    "choose_addresses",
    "FleetShares",
    "carriers_of",
    "choose_nearest",
    "fleet_shares",
    "fallback_interval_ms",
    "first_incarnation",
    "is_watcher",
    "make_freshness",
    "neighbours_of",
]

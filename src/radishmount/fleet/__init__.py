"""The instances of the fleet, and the addresses that callers are given."""

from radishmount.fleet._addresses import AddressAnswer, choose_addresses
from radishmount.fleet._fleet import Fleet, InstanceList
from radishmount.fleet._incarnation import first_incarnation
from radishmount.fleet._instance import Instance, InstanceState
from radishmount.fleet._members import Member, Members
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
    PeerIdentity,
    Ping,
    Pong,
    ProbeReply,
    ProbeRequest,
    Request,
    Response,
)
from radishmount.fleet._peers import AnswerPeer, Peers, TakeNotice
from radishmount.fleet._session import PeerSession
from radishmount.fleet._stream import OpenPeer, PeerStream
from radishmount.fleet._watch import InstanceListSource, ListWatch, watch_instances


__all__ = [
    "Member",
    "Members",
    "first_incarnation",
    "AddressAnswer",
    "AnswerPeer",
    "BundlePiece",
    "BundleRequest",
    "EndpointChanges",
    "Fleet",
    "Frame",
    "Heartbeat",
    "Instance",
    "InstanceList",
    "InstanceListSource",
    "InstanceState",
    "ListReply",
    "ListRequest",
    "ListWatch",
    "MemberState",
    "MemberUpdate",
    "Message",
    "Notice",
    "OpenPeer",
    "PeerIdentity",
    "PeerSession",
    "PeerStream",
    "Peers",
    "Ping",
    "Pong",
    "ProbeReply",
    "ProbeRequest",
    "Request",
    "Response",
    "TakeNotice",
    "choose_addresses",
    "watch_instances",
]

"""The border: bytes become data classes here, and data classes bytes."""

from radishmount.border._ask_client import AskAnswer, AskClient
from radishmount.border._bundle import digest_of, read_bundle, write_bundle
from radishmount.border._callers import CallerService, make_caller_app
from radishmount.border._endpoint_client import EndpointChannel, open_endpoint_channel
from radishmount.border._http import expect_continue
from radishmount.border._jsonc import read_jsonc
from radishmount.border._manifest import CONFIGURATION_KEY, MAX_VALUE_BYTES, split_bundle
from radishmount.border._metrics import RequestMetrics
from radishmount.border._models import BorderModel, describe_fault, describe_faults, read_json
from radishmount.border._object_files import ObjectFolder, check_folder, read_folder
from radishmount.border._objects import object_from, publication_from
from radishmount.border._operators import OperatorService, make_operator_app
from radishmount.border._peer_codec import add_peer_models, pack_frame, unpack_frame
from radishmount.border._peer_endpoints import ENDPOINT_PEER_MODELS
from radishmount.border._peer_hello import PeerKey
from radishmount.border._peer_models import PeerModel
from radishmount.border._peer_orders import ORDER_PEER_MODELS
from radishmount.border._peer_stream import PeerServer, make_open_peer, serve_peers
from radishmount.border._platform_client import HttpPlatform
from radishmount.border._refusals import status_of
from radishmount.border._serve import Server, serve, serve_manager
from radishmount.border._settings import (
    EntrySettings,
    Listen,
    read_entry_settings,
    read_settings,
    split_address,
)


__all__ = [
    "AskAnswer",
    "AskClient",
    "BorderModel",
    "CONFIGURATION_KEY",
    "CallerService",
    "ENDPOINT_PEER_MODELS",
    "EndpointChannel",
    "EntrySettings",
    "HttpPlatform",
    "ORDER_PEER_MODELS",
    "Listen",
    "MAX_VALUE_BYTES",
    "ObjectFolder",
    "OperatorService",
    "PeerKey",
    "PeerModel",
    "PeerServer",
    "RequestMetrics",
    "Server",
    "add_peer_models",
    "check_folder",
    "describe_fault",
    "describe_faults",
    "expect_continue",
    "digest_of",
    "make_caller_app",
    "make_open_peer",
    "make_operator_app",
    "object_from",
    "open_endpoint_channel",
    "pack_frame",
    "publication_from",
    "read_bundle",
    "read_entry_settings",
    "read_folder",
    "read_json",
    "read_jsonc",
    "read_settings",
    "serve",
    "serve_manager",
    "serve_peers",
    "split_address",
    "split_bundle",
    "status_of",
    "unpack_frame",
    "write_bundle",
]

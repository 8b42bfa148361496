"""The border: bytes become data classes here, and data classes bytes."""

from typing import TYPE_CHECKING

from radishmount._lazy import lazy_names


if TYPE_CHECKING:
    from radishmount.border._ask_client import AskAnswer, AskClient
    from radishmount.border._bundle import digest_of, read_bundle, write_bundle
    from radishmount.border._callers import CallerService, make_caller_app
    from radishmount.border._endpoint_client import EndpointChannel, open_endpoint_channel
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
    from radishmount.border._serve import (
        ConnectionLimits,
        Server,
        expect_continue,
        serve,
        serve_manager,
    )
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
    "ConnectionLimits",
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

# Programs use different parts, and the models of each take time to build.
__getattr__ = lazy_names(
    __name__,
    {
        "AskAnswer": "_ask_client",
        "AskClient": "_ask_client",
        "BorderModel": "_models",
        "CONFIGURATION_KEY": "_manifest",
        "CallerService": "_callers",
        "ENDPOINT_PEER_MODELS": "_peer_endpoints",
        "EndpointChannel": "_endpoint_client",
        "EntrySettings": "_settings",
        "HttpPlatform": "_platform_client",
        "Listen": "_settings",
        "MAX_VALUE_BYTES": "_manifest",
        "ORDER_PEER_MODELS": "_peer_orders",
        "ObjectFolder": "_object_files",
        "OperatorService": "_operators",
        "PeerKey": "_peer_hello",
        "PeerModel": "_peer_models",
        "PeerServer": "_peer_stream",
        "RequestMetrics": "_metrics",
        "ConnectionLimits": "_serve",
        "Server": "_serve",
        "add_peer_models": "_peer_codec",
        "check_folder": "_object_files",
        "describe_fault": "_models",
        "describe_faults": "_models",
        "digest_of": "_bundle",
        "expect_continue": "_serve",
        "make_caller_app": "_callers",
        "make_open_peer": "_peer_stream",
        "make_operator_app": "_operators",
        "object_from": "_objects",
        "open_endpoint_channel": "_endpoint_client",
        "pack_frame": "_peer_codec",
        "publication_from": "_objects",
        "read_bundle": "_bundle",
        "read_entry_settings": "_settings",
        "read_folder": "_object_files",
        "read_json": "_models",
        "read_jsonc": "_jsonc",
        "read_settings": "_settings",
        "serve": "_serve",
        "serve_manager": "_serve",
        "serve_peers": "_peer_stream",
        "split_address": "_settings",
        "split_bundle": "_manifest",
        "status_of": "_refusals",
        "unpack_frame": "_peer_codec",
        "write_bundle": "_bundle",
    },
)

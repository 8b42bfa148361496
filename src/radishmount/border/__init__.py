"""The border: parses and validates what comes in, and encodes what goes out.

The code inside works on data classes and does not know the formats (HTTP, JSON, msgpack).
"""

from typing import TYPE_CHECKING

from radishmount._lazy import lazy_names


if TYPE_CHECKING:
    from radishmount.border._bounded_body import read_bounded
    from radishmount.border._bundle import digest_of, read_bundle, write_bundle
    from radishmount.border._callers import CallerService, make_caller_app
    from radishmount.border._client_connection import ConnectionLimits
    from radishmount.border._endpoint_client import EndpointChannel, open_endpoint_channel
    from radishmount.border._endpoint_fields import (
        ColdTime,
        DataCentreName,
        EndpointAddress,
        ListedName,
        ServiceName,
        SlotCount,
        StartTime,
    )
    from radishmount.border._instance_client import InstanceClient, InstanceResponse
    from radishmount.border._jsonc import read_jsonc
    from radishmount.border._manifest import BUNDLE_KEY, MAX_VALUE_BYTES, split_bundle
    from radishmount.border._metrics import RequestMetrics
    from radishmount.border._models import (
        BorderModel,
        describe_all_errors,
        describe_first_error,
        read_json,
    )
    from radishmount.border._object_files import ObjectFolder, check_folder, read_folder
    from radishmount.border._objects import build_publication, parse_object
    from radishmount.border._operators import OperatorService, make_operator_app
    from radishmount.border._peer_codec import pack_frame, register_peer_models, unpack_frame
    from radishmount.border._peer_endpoint_models import ENDPOINT_PEER_MODELS
    from radishmount.border._peer_handshake import PeerCredentials
    from radishmount.border._peer_models import PeerModel
    from radishmount.border._peer_order_models import ORDER_PEER_MODELS
    from radishmount.border._peer_stream import PeerServer, make_peer_opener, serve_peers
    from radishmount.border._platform_client import HttpPlatformClient
    from radishmount.border._request_body import read_request_body
    from radishmount.border._responses import http_status_of
    from radishmount.border._serve import (
        Server,
        send_continue,
        serve,
        serve_low_level,
    )
    from radishmount.border._settings import (
        EntrySettings,
        SocketAddress,
        parse_address,
        read_entry_settings,
        read_settings,
    )


__all__ = [
    "InstanceResponse",
    "InstanceClient",
    "BorderModel",
    "BUNDLE_KEY",
    "CallerService",
    "ColdTime",
    "ConnectionLimits",
    "DataCentreName",
    "ENDPOINT_PEER_MODELS",
    "EndpointAddress",
    "EndpointChannel",
    "EntrySettings",
    "HttpPlatformClient",
    "ListedName",
    "ORDER_PEER_MODELS",
    "SocketAddress",
    "MAX_VALUE_BYTES",
    "ObjectFolder",
    "OperatorService",
    "PeerCredentials",
    "PeerModel",
    "PeerServer",
    "RequestMetrics",
    "Server",
    "ServiceName",
    "SlotCount",
    "StartTime",
    "register_peer_models",
    "check_folder",
    "describe_first_error",
    "describe_all_errors",
    "send_continue",
    "digest_of",
    "make_caller_app",
    "make_peer_opener",
    "make_operator_app",
    "parse_object",
    "open_endpoint_channel",
    "pack_frame",
    "build_publication",
    "read_bounded",
    "read_bundle",
    "read_entry_settings",
    "read_folder",
    "read_json",
    "read_jsonc",
    "read_request_body",
    "read_settings",
    "serve",
    "serve_low_level",
    "serve_peers",
    "parse_address",
    "split_bundle",
    "http_status_of",
    "unpack_frame",
    "write_bundle",
]

# Imported lazily: each program uses only some of the modules, and building models takes time.
__getattr__ = lazy_names(
    __name__,
    {
        "InstanceResponse": "_instance_client",
        "InstanceClient": "_instance_client",
        "BorderModel": "_models",
        "ColdTime": "_endpoint_fields",
        "DataCentreName": "_endpoint_fields",
        "EndpointAddress": "_endpoint_fields",
        "ListedName": "_endpoint_fields",
        "ServiceName": "_endpoint_fields",
        "SlotCount": "_endpoint_fields",
        "StartTime": "_endpoint_fields",
        "BUNDLE_KEY": "_manifest",
        "CallerService": "_callers",
        "ENDPOINT_PEER_MODELS": "_peer_endpoint_models",
        "EndpointChannel": "_endpoint_client",
        "EntrySettings": "_settings",
        "HttpPlatformClient": "_platform_client",
        "SocketAddress": "_settings",
        "MAX_VALUE_BYTES": "_manifest",
        "ORDER_PEER_MODELS": "_peer_order_models",
        "ObjectFolder": "_object_files",
        "OperatorService": "_operators",
        "PeerCredentials": "_peer_handshake",
        "PeerModel": "_peer_models",
        "PeerServer": "_peer_stream",
        "RequestMetrics": "_metrics",
        "ConnectionLimits": "_client_connection",
        "Server": "_serve",
        "register_peer_models": "_peer_codec",
        "check_folder": "_object_files",
        "describe_first_error": "_models",
        "describe_all_errors": "_models",
        "digest_of": "_bundle",
        "send_continue": "_serve",
        "make_caller_app": "_callers",
        "make_peer_opener": "_peer_stream",
        "make_operator_app": "_operators",
        "parse_object": "_objects",
        "open_endpoint_channel": "_endpoint_client",
        "pack_frame": "_peer_codec",
        "build_publication": "_objects",
        "read_bounded": "_bounded_body",
        "read_bundle": "_bundle",
        "read_entry_settings": "_settings",
        "read_folder": "_object_files",
        "read_json": "_models",
        "read_jsonc": "_jsonc",
        "read_settings": "_settings",
        "read_request_body": "_request_body",
        "serve": "_serve",
        "serve_low_level": "_serve",
        "serve_peers": "_peer_stream",
        "parse_address": "_settings",
        "split_bundle": "_manifest",
        "http_status_of": "_responses",
        "unpack_frame": "_peer_codec",
        "write_bundle": "_bundle",
    },
)

"""The names of headers, paths and keys in the platform's protocols."""

__all__ = [
    "BOOT_VARIABLE",
    "COLD_HEADER",
    "CONFIGURATION_KEY",
    "ENDPOINT_PREFIX",
    "ERA_HEADER",
    "EVACUATION_PREFIX",
    "EXPECTED_ENDPOINT_HEADER",
    "HOP_BY_HOP_HEADERS",
    "LEAVING_HEADER",
    "LOAD_HEADER",
    "MISSING_PARTS_HEADER",
    "NOT_EXECUTED_HEADER",
    "PART_SIGNATURES_HEADER",
    "READINESS_PATH",
    "REQUEST_ID_HEADER",
    "RESOLVE_PATH",
    "RETRY_AFTER_HEADER",
    "SIGNATURE_HEADER",
    "TIME_LEFT_HEADER",
]

BOOT_VARIABLE = "RADISHMOUNT_BOOT"

REQUEST_ID_HEADER = "Radishmount-Request-Id"
TIME_LEFT_HEADER = "Radishmount-Time-Left-Ms"
EXPECTED_ENDPOINT_HEADER = "Radishmount-Expect-Instance"
SIGNATURE_HEADER = "Radishmount-Server-Stamp"
PART_SIGNATURES_HEADER = "Radishmount-Part-Stamps"
MISSING_PARTS_HEADER = "Radishmount-Missing-Parts"
NOT_EXECUTED_HEADER = "Radishmount-Not-Executed"
LOAD_HEADER = "Radishmount-Server-Load"
LEAVING_HEADER = "Server-Leaving"
COLD_HEADER = "Radishmount-Cold-Ms"
RETRY_AFTER_HEADER = "Retry-After"
ERA_HEADER = "Store-Era"

READINESS_PATH = "/-/readiness"
RESOLVE_PATH = "/-/resolve"
CONFIGURATION_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"

# Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that are set anew for the connection on
# the other side.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "date",
        "server",
    }
)

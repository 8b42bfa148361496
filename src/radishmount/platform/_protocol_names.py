"""The names of headers, paths and keys on the platform's wire."""

__all__ = [
    "BOOT_VARIABLE",
    "CONFIGURATION_KEY",
    "ENDPOINT_PREFIX",
    "EXPECTED_ENDPOINT",
    "HOP_HEADERS",
    "LOAD",
    "MISSING_PARTS",
    "NOT_EXECUTED",
    "PART_SIGNATURES",
    "READINESS_PATH",
    "REQUEST_ID",
    "RESOLVE_PATH",
    "RETRY_AFTER",
    "SIGNATURE",
    "TIME_LEFT_MS",
]

BOOT_VARIABLE = "RADISHMOUNT_BOOT"

REQUEST_ID = "Radishmount-Request-Id"
TIME_LEFT_MS = "Radishmount-Time-Left-Ms"
EXPECTED_ENDPOINT = "Radishmount-Expect-Instance"
SIGNATURE = "Radishmount-Server-Stamp"
PART_SIGNATURES = "Radishmount-Part-Stamps"
MISSING_PARTS = "Radishmount-Missing-Parts"
NOT_EXECUTED = "Radishmount-Not-Executed"
LOAD = "Radishmount-Server-Load"
RETRY_AFTER = "Retry-After"

READINESS_PATH = "/-/readiness"
RESOLVE_PATH = "/-/resolve"
CONFIGURATION_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"

# Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the connection
# at the other side sets by itself.
HOP_HEADERS = frozenset(
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

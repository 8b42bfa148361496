"""Logs: one JSON line for each change of state."""

import logging
import sys
from dataclasses import asdict

from pythonjsonlogger.json import JsonFormatter

from radishmount.audit import AuditLine


__all__ = ["audit_log", "log_state_change", "set_up_logging"]

LOGGER = logging.getLogger("radishmount")
REQUEST_SUBJECT = "request/"


def set_up_logging(instance: str) -> None:
    """Write JSON lines to standard error, each with the name of the instance.

    Warnings of the libraries come as JSON lines too, so that a reader of the log meets no other
    format.
    """
    formatter = JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "message": "change"},
        static_fields={"instance": instance},
        timestamp=True,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(logging.INFO)
    LOGGER.propagate = False
    logging.getLogger().handlers = [handler]


def log_state_change(change: str, **fields: str) -> None:
    """Write one line for a change of state of the process."""
    LOGGER.info(change, extra=fields)


def audit_log(line: AuditLine) -> None:
    """Write one audit line; one about a request names its id in a field of its own."""
    fields = asdict(line)
    change = fields.pop("change")
    del fields["at_ms"]  # the line has a timestamp already
    if line.subject.startswith(REQUEST_SUBJECT):
        fields["request_id"] = line.subject.removeprefix(REQUEST_SUBJECT)
    LOGGER.info(change, extra=fields)

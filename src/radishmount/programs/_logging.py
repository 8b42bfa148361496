"""Logs: one JSON line for each change of state."""

import logging
import sys
from dataclasses import asdict

from pythonjsonlogger.json import JsonFormatter

from radishmount.audit import AuditLine


__all__ = ["audit_log", "log_state_change", "set_up_logging"]

LOGGER = logging.getLogger("radishmount")


def set_up_logging(instance: str) -> None:
    """Write JSON lines to standard error, each with the name of the instance."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(message)s", static_fields={"instance": instance})
    )
    LOGGER.handlers = [handler]
    LOGGER.setLevel(logging.INFO)
    LOGGER.propagate = False


def log_state_change(change: str, **fields: str) -> None:
    """Write one line for a change of state of the process."""
    LOGGER.info(change, extra=fields)


def audit_log(line: AuditLine) -> None:
    """Write one audit line."""
    LOGGER.info(line.change, extra={"audit": asdict(line)})

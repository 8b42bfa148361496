"""Logs: one JSON line for each change of state."""

import logging
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from radishmount.audit import AuditLine
from radishmount.logs import LogOutput, open_standard_output


__all__ = ["audit_log", "log_line", "log_state_change", "set_up_logging"]

LOGGER = logging.getLogger("radishmount")
REQUEST_SUBJECT = "request/"


class OutputHandler(logging.Handler):
    """Hands each line to an output that nobody waits for."""

    def __init__(self, output: LogOutput) -> None:
        super().__init__()
        self._output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Put one line in."""
        dropped = self._output.pop_dropped_count()
        if dropped:
            record.__dict__["lines_dropped_before"] = dropped
        self._output.put(self.format(record).encode() + b"\n")


def set_up_logging(instance: str) -> LogOutput:
    """Write JSON lines to standard output, each with the name of the instance.

    The caller has the output written while it runs, and flushes it at the end. Warnings of the
    libraries come as JSON lines too, so that a reader of the log meets no other format.
    """
    formatter = JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "message": "change"},
        static_fields={"instance": instance},
        timestamp=True,
    )
    output = open_standard_output()
    handler = OutputHandler(output)
    handler.setFormatter(formatter)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(logging.INFO)
    LOGGER.propagate = False
    logging.getLogger().handlers = [handler]
    return output


def log_state_change(change: str, **fields: str) -> None:
    """Write one line for a change of state of the process."""
    LOGGER.info(change, extra=fields)


def log_line(change: str, fields: Mapping[str, Any]) -> None:
    """Write one line with any fields."""
    LOGGER.info(change, extra=dict(fields))


def audit_log(line: AuditLine) -> None:
    """Write one audit line; one about a request names its id in a field of its own."""
    fields = asdict(line)
    change = fields.pop("change")
    del fields["at_ms"]  # the line has a timestamp already
    if line.subject.startswith(REQUEST_SUBJECT):
        fields["request_id"] = line.subject.removeprefix(REQUEST_SUBJECT)
    LOGGER.info(change, extra=fields)

"""Logging of the programs: one JSON object per line on standard output."""

import logging
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from radishmount.audit import AuditLine
from radishmount.logs import LogOutput, open_standard_output


__all__ = ["log_audit_line", "log_line", "log_state_change", "set_up_logging"]

LOGGER = logging.getLogger("radishmount")
REQUEST_SUBJECT = "request/"


class OutputHandler(logging.Handler):
    """A logging handler that appends each line to a `LogOutput`, which never blocks the caller."""

    def __init__(self, output: LogOutput) -> None:
        super().__init__()
        self._output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, with the number of lines that were dropped before it, if any."""
        dropped = self._output.pop_dropped_count()
        if dropped:
            record.__dict__["lines_dropped_before"] = dropped
        self._output.put(self.format(record).encode() + b"\n")


def set_up_logging(instance: str) -> LogOutput:
    """Log JSON lines to standard output, each with the name of the instance.

    The caller must run the returned output's `run()` as a task and call `flush()` at the end. The
    root logger gets the same handler, so messages of libraries are in the same format.
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
    """Log a change of state of the process, with `fields` as extra fields of the line."""
    LOGGER.info(change, extra=fields)


def log_line(change: str, fields: Mapping[str, Any]) -> None:
    """Log one line with fields of any type."""
    LOGGER.info(change, extra=dict(fields))


def log_audit_line(line: AuditLine) -> None:
    """Log one record of the audit trail; a record about a request gets a `request_id` field."""
    fields = asdict(line)
    change = fields.pop("change")
    del fields["at_ms"]  # the formatter adds a timestamp
    if line.subject.startswith(REQUEST_SUBJECT):
        fields["request_id"] = line.subject.removeprefix(REQUEST_SUBJECT)
    LOGGER.info(change, extra=fields)

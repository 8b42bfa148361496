"""Tests of the JSON log lines of an instance."""

import json
import logging
from collections.abc import Iterator

import pytest

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.programs._logging import LOGGER, log_audit_line, log_state_change, set_up_logging


@pytest.fixture
def restored_log_handlers() -> Iterator[None]:
    """Restore the log handlers afterwards: they belong to the whole process."""
    before = (LOGGER.handlers, logging.getLogger().handlers)
    yield
    LOGGER.handlers, logging.getLogger().handlers = before


@pytest.mark.usefixtures("restored_log_handlers")
class TestLogging:
    """Each line of the log is one JSON object."""

    def test_a_change_of_state_is_logged_with_its_fields(self) -> None:
        output = set_up_logging("entry-a")
        log_state_change("serving", callers="127.0.0.1:8080")

        line = json.loads(output.buffer)
        assert (line["instance"], line["level"], line["change"]) == ("entry-a", "INFO", "serving")
        assert line["callers"] == "127.0.0.1:8080"
        assert line["timestamp"].endswith("+00:00")

    def test_an_audit_line_about_a_request_has_its_id_as_a_field(self) -> None:
        output = set_up_logging("entry-a")
        trail = AuditTrail(Clock(lambda: 0.0, lambda: 0.0), emit=log_audit_line)
        trail.record("request/r1", "internal error", cause="KeyError", version=7)

        line = json.loads(output.buffer)
        assert line["request_id"] == "r1"
        assert (line["change"], line["cause"], line["version"]) == ("internal error", "KeyError", 7)

    def test_log_lines_of_libraries_are_json_too(self) -> None:
        output = set_up_logging("entry-a")
        logging.getLogger("asyncio").error("odd", exc_info=ValueError("x"))

        assert "ValueError" in json.loads(output.buffer)["exc_info"]

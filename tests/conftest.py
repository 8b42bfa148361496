"""Shared fixtures, and the handling of tests that are listed as failing for known faults."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from support import EntryHarness, start_entry_harness


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: tests/"


def known_red_lines() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt that name a test, by the test's id."""
    lines_by_id = {}
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if not line.startswith(TEST_PREFIX):
            continue
        test_id = line.removeprefix("test: ").split(";")[0].strip()
        lines_by_id[test_id] = line
    return lines_by_id


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests, and no others, as expected to fail."""
    lines_by_id = known_red_lines()
    for item in items:
        line = lines_by_id.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the lines of the listed tests."""
    for line in known_red_lines().values():
        terminalreporter.write_line(f"KNOWN RED {line}")


@pytest.fixture
async def harness() -> AsyncIterator[EntryHarness]:
    """Run one entry with its platform and endpoints over loopback connections."""
    running = await start_entry_harness()
    yield running
    await running.stop()

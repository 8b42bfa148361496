"""The lines and gauges that tell why an instance has an old view of the store."""

import asyncio
import json
from collections.abc import AsyncIterator
from http import HTTPStatus

import pytest

from platform_harness import (
    PlatformHarness,
    single_route,
    start_platform_harness,
)
from radishmount.audit import AuditLine
from radishmount.codes import Code, Refusal
from radishmount.forwarding import ForwardRecord, ForwardVerdict


LIMIT_S = 20.0  # ends a test whose line never comes
CUT_LENGTH = 200  # what readers of the users' logs keep of a line


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield an instance with one endpoint."""
    started = await start_platform_harness()
    await started.add_back_end("orders", "b1")
    await started.publish(3, single_route())
    yield started
    await started.stop()


async def wait_for_line(harness: PlatformHarness, subject: str, change: str) -> AuditLine:
    """Return the first line of the audit trail about a change, once there is one."""

    def lines() -> list[AuditLine]:
        trail = harness.instance.gateway.audit.lines
        return [line for line in trail if (line.subject, line.change) == (subject, change)]

    async with asyncio.timeout(LIMIT_S):
        await harness.wait_until(lines)
    return lines()[0]


class TestStoreLines:
    """A forgotten history, a return from an older copy and an outage have different lines."""

    async def test_a_forgotten_history_is_not_named_a_return_to_an_older_version(
        self, harness: PlatformHarness
    ) -> None:
        """Guards against one line for two causes, of which one is harmless."""
        await harness.store.forget_history()
        line = await wait_for_line(harness, "store", "history lost")

        assert f"{Code.PLATFORM_FORGOT.value} PLATFORM_FORGOT" in line.cause
        assert str(harness.store_server.address) in line.cause

    async def test_a_lost_store_is_named_by_its_address(self, harness: PlatformHarness) -> None:
        """Guards against a line that does not tell which of two addresses was called."""
        await harness.store.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        line = await wait_for_line(harness, "store", "lost")

        assert f"{harness.store_server.address}: status 503" in line.cause

    async def test_the_gauges_tell_up_to_where_the_view_goes(
        self, harness: PlatformHarness
    ) -> None:
        gauges = harness.instance.gateway.gauges()

        assert gauges["store_revision"] == harness.store.revision
        assert gauges["store_answer_age_ms"] < 5_000.0

    async def test_a_store_that_went_back_untold_has_lines_with_both_positions(self) -> None:
        """Guards against answers that are dropped without a trace, while the view grows old."""
        harness = await start_platform_harness()
        harness.store.era_headers = lambda era: []
        await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())
        copy = harness.store.copy()
        await harness.publish(4, single_route())
        known = harness.instance.gateway.follower.known_position.revision
        await harness.store.restore(copy)
        refused = await wait_for_line(harness, "store", "lost")
        believed = await wait_for_line(harness, "store", "new era")
        history = harness.instance.gateway.gauges()["store_history"]
        await harness.stop()

        told = f"era 0, revision {copy.revision}"
        assert f"{told}, after era 0, revision {known}" in refused.cause
        assert f"history 1, {told}, after era 0, revision {known}" in believed.cause
        assert history == 1.0


class TestRequestLine:
    """The line of a request tells what the instance believed."""

    def test_version_age_and_code_stand_before_the_cut(self) -> None:
        """Guards against a record of a failure in which the decisive fields are cut off."""
        record = ForwardRecord(
            request_id="9c41d07be2a35f68",
            route="",
            verdict=ForwardVerdict.REFUSED,
            took_ms=0.0,
            allowed_ms=0.0,
            parts=0,
            missing=(),
            attempts=(),
            version=7,
            endpoints_age_ms=12_150.4,
            refusal=Refusal(Code.UNKNOWN_ROUTE, detail="host.example/path"),
        )
        fields = {
            "level": "INFO",
            "name": "radishmount",
            "change": "request refused",
            "instance": "front-region-centre-10",
            **record.fields(),
        }

        cut = json.dumps(fields)[:CUT_LENGTH]

        assert '"version": 7' in cut
        assert '"endpoints_age_ms": 12150' in cut

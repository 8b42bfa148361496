"""Tests that an instance refreshes its view after a pause, on virtual time."""

import asyncio
from dataclasses import replace

import pytest

from fakes import start_query_harness, virtual_clock
from fleet_harness import make_fleet_harness
from radishmount.audit import AuditTrail
from radishmount.counters import Counters
from radishmount.fleet import make_freshness


pytestmark = pytest.mark.looptime


class TestFreshness:
    """New work waits from a late tick until the view is refreshed."""

    async def test_work_waits_until_the_view_is_refreshed(self) -> None:
        clock = virtual_clock()
        events = []

        async def refresh() -> None:
            await asyncio.sleep(0.2)
            events.append("refreshed")

        freshness = make_freshness(
            clock, AuditTrail(clock), Counters(), lambda: events.append("invalidated"), refresh
        )
        freshness.pause_detector.last_tick_at_ms -= 3_000.0

        assert not await freshness.wait_until_fresh(100.0)
        assert events == ["invalidated"]
        assert await freshness.wait_until_fresh(200.0)
        assert events == ["invalidated", "refreshed"]

    async def test_a_suspended_machine_is_detected_by_the_boot_time_clock(self) -> None:
        boot_ms = [0.0]
        clock = replace(virtual_clock(), boot_ms=lambda: boot_ms[0])
        counters = Counters()

        async def refresh() -> None:
            pass

        freshness = make_freshness(clock, AuditTrail(clock), counters, lambda: None, refresh)
        before = freshness.check()
        boot_ms[0] += 5_000.0

        assert before
        assert not freshness.check()
        assert counters.value("pauses") == 1

    async def test_a_refresh_that_hangs_times_out(self) -> None:
        clock = virtual_clock()
        counters = Counters()

        async def hang() -> None:
            await asyncio.sleep(1_000.0)

        freshness = make_freshness(clock, AuditTrail(clock), counters, lambda: None, hang)
        ticking = asyncio.create_task(freshness.run())
        freshness.pause_detector.last_tick_at_ms -= 3_000.0

        assert not freshness.check()
        await asyncio.sleep(1.4)
        assert not freshness.check()
        await asyncio.sleep(0.2)
        assert freshness.check()
        ticking.cancel()
        assert counters.value("renewals_cut_short") == 1

    async def test_ticks_in_time_count_as_no_pause(self) -> None:
        clock = virtual_clock()
        counters = Counters()

        async def refresh() -> None:
            pass

        freshness = make_freshness(clock, AuditTrail(clock), counters, lambda: None, refresh)
        ticking = asyncio.create_task(freshness.run())
        await asyncio.sleep(100.0)
        ticking.cancel()

        assert counters.value("pauses") == 0

    async def test_a_version_published_during_the_pause_is_in_force_first(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(("entry-a", "entry-b", "entry-c"), ("milano",))
        paused = asyncio.create_task(harness.pause("entry-c", 5.0))
        await asyncio.sleep(1.0)
        harness.platform.publish_bundle(2, b"2 two")
        before = await paused
        control_plane = harness.control_planes_by_name["entry-c"]
        was_fresh = await control_plane.wait_until_fresh(1_500.0)

        assert (before, was_fresh) == (1, True)
        assert control_plane.active_publication.current.version == 2
        await harness.stop()

    async def test_a_search_after_a_pause_is_answered(self) -> None:
        harness = await start_query_harness()
        node = harness.nodes_by_name["entry-a"]
        node.control.freshness.pause_detector.last_tick_at_ms -= 5_000.0
        await harness.search(request_id="late", deadline_ms=1_000.0)
        await harness.stop()

        assert "missing none" in harness.log.lines[-1]
        assert node.counters.value("pauses") == 1

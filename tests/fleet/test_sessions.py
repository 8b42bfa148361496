"""Snapshot tests of a fleet with several faults at once, on virtual time."""

import asyncio

import pytest
from syrupy.assertion import SnapshotAssertion

from fakes import FakePlatform
from fleet_harness import FleetHarness, make_fleet_harness


pytestmark = pytest.mark.looptime

SIDE_ONE = ("entry-a", "entry-b")
SIDE_TWO = ("entry-c", "entry-d")
NAMES = (*SIDE_ONE, *SIDE_TWO)
CENTRES = ("milano", "torino")


async def start_four_instances() -> FleetHarness:
    """Start four instances in two data centres; the log is empty once all are ready."""
    harness = make_fleet_harness()
    await harness.start_all(NAMES, CENTRES)
    harness.log.lines.clear()
    return harness


def log_versions(harness: FleetHarness) -> None:
    line = " ".join(
        f"{name}={version}" for name, version in sorted(harness.versions_in_force().items())
    )
    harness.log.add(f"-- in force: {line}")


class TestFleetSessions:
    """The log holds the state changes of all instances, in their order."""

    async def test_restart_under_a_stale_platform(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_four_instances()
        stale = FakePlatform(instances=harness.platform.instances)
        stale.publish_bundle(1, b"1 one")
        harness.log.add("-- version 2 is published; one reader of the platform is stale")
        harness.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(1.0)
        harness.log.add("-- entry-c is replaced and reads the stale one")
        await harness.kill("entry-c")
        await asyncio.sleep(0.5)
        again = harness.start("entry-c", "milano", stale)
        await asyncio.sleep(5.0)
        log_versions(harness)
        await harness.stop()

        assert again.active_publication.current.version == 2
        assert harness.applied_versions_by_start["entry-c/5"][-1] == 2
        assert harness.log.text() == snapshot

    async def test_split_with_a_stale_platform_and_one_that_is_down(
        self, snapshot: SnapshotAssertion
    ) -> None:
        harness = make_fleet_harness()
        stale, down = FakePlatform(), FakePlatform()
        for number, name in enumerate(NAMES):
            platform = stale if name in SIDE_ONE else down
            harness.start(name, CENTRES[number % 2], platform)
        for platform in (stale, down):
            platform.publish_bundle(1, b"1 one")
        harness.publish_instances(stale, down)
        await asyncio.sleep(3.0)
        harness.log.lines.clear()
        harness.log.add("-- version 2 reaches only the second side, then its platform goes down")
        harness.network.split(SIDE_ONE, SIDE_TWO)
        down.publish_bundle(2, b"2 two")
        await asyncio.sleep(1.0)
        down.down = True
        down.publish_instances(down.instances)
        await asyncio.sleep(20.0)
        log_versions(harness)
        assert set(harness.versions_in_force().values()) == {1, 2}
        harness.log.add("-- the split heals")
        harness.network.heal()
        await asyncio.sleep(10.0)
        log_versions(harness)
        await harness.stop()

        assert set(harness.versions_in_force().values()) == {2}
        assert harness.log.text() == snapshot

    async def test_pause_during_a_partition(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_four_instances()
        harness.log.add("-- the fleet splits")
        harness.network.split(SIDE_ONE, SIDE_TWO)
        await asyncio.sleep(6.0)
        paused = asyncio.create_task(harness.pause("entry-b", 8.0))
        await asyncio.sleep(1.0)
        harness.log.add("-- version 2 is published")
        harness.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(3.0)
        harness.network.heal()
        harness.log.add("-- the split heals")
        await paused
        is_fresh_at_once = harness.control_planes_by_name["entry-b"].freshness.check()
        await asyncio.sleep(10.0)
        log_versions(harness)
        states = {name: set(harness.states_of(name).values()) for name in NAMES}
        await harness.stop()

        assert not is_fresh_at_once
        assert harness.control_planes_by_name["entry-b"].freshness.check()
        assert states == {name: {"live"} for name in NAMES}
        assert set(harness.versions_in_force().values()) == {2}
        assert harness.log.text() == snapshot

    async def test_leave_while_a_version_is_distributed(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_four_instances()
        leaver = harness.control_planes_by_name["entry-b"]
        harness.log.add("-- a repartitioned version 2 is published and entry-b leaves at once")
        harness.platform.publish_bundle(2, b"2 two")
        leaver.leave()
        await asyncio.sleep(0.1)
        assert leaver.accepts_requests() and not leaver.is_ready()
        await asyncio.sleep(5.0)
        log_versions(harness)
        assert leaver.accepts_requests()
        await asyncio.sleep(1.0)
        assert not leaver.accepts_requests()
        harness.log.add("-- entry-b is gone")
        await harness.kill("entry-b")
        await asyncio.sleep(10.0)
        states = set(harness.states_of("entry-b").values())
        await harness.stop()

        assert states == {"leaving"}
        assert harness.log.text() == snapshot

    async def test_two_digests_under_one_version(self, snapshot: SnapshotAssertion) -> None:
        harness = make_fleet_harness()
        one, two = FakePlatform(), FakePlatform()
        for number, name in enumerate(NAMES):
            harness.start(name, CENTRES[number % 2], one if name in SIDE_ONE else two)
        for platform in (one, two):
            platform.publish_bundle(1, b"1 one")
        harness.publish_instances(one, two)
        await asyncio.sleep(3.0)
        harness.log.lines.clear()
        harness.network.split(SIDE_ONE, SIDE_TWO)
        harness.log.add("-- two operators publish a version 2, one on each side of a split")
        one.publish_bundle(2, b"2 theirs")
        two.publish_bundle(2, b"2 ours")
        await asyncio.sleep(10.0)
        harness.network.heal()
        harness.log.add("-- the split heals")
        await asyncio.sleep(15.0)
        digests = {
            c.active_publication.current.digest for c in harness.control_planes_by_name.values()
        }
        log_versions(harness)
        harness.log.add("-- version 3 settles it")
        one.publish_bundle(3, b"3 settled")
        await asyncio.sleep(5.0)
        log_versions(harness)
        await harness.stop()

        assert digests == {"theirs", "ours"}
        assert {
            c.active_publication.current.digest for c in harness.control_planes_by_name.values()
        } == {"settled"}
        assert harness.log.text() == snapshot

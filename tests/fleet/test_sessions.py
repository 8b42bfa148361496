"""Golden files of whole sessions of the fleet, on virtual time: one fault upon another."""

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


async def start_four() -> FleetHarness:
    """Start four instances in two data centres; the log begins when all are ready."""
    world = make_fleet_harness()
    await world.start_all(NAMES, CENTRES)
    world.log.lines.clear()
    return world


def note_versions(world: FleetHarness) -> None:
    told = " ".join(f"{name}={version}" for name, version in sorted(world.versions().items()))
    world.log.add(f"-- in force: {told}")


class TestFleetSessions:
    """Each change of state of every instance, in its order."""

    async def test_restart_under_a_stale_platform(self, snapshot: SnapshotAssertion) -> None:
        world = await start_four()
        stale = FakePlatform(instances=world.platform.instances)
        stale.publish_bundle(1, b"1 one")
        world.log.add("-- version 2 is published; one reader of the platform is stale")
        world.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(1.0)
        world.log.add("-- entry-c is replaced and reads the stale one")
        await world.kill("entry-c")
        await asyncio.sleep(0.5)
        again = world.start("entry-c", "milano", stale)
        await asyncio.sleep(5.0)
        note_versions(world)
        await world.stop()

        assert again.active_publication.current.version == 2
        assert world.versions_seen_by_name["entry-c/5"][-1] == 2
        assert world.log.text() == snapshot

    async def test_split_with_platform_stale_here_and_down_there(
        self, snapshot: SnapshotAssertion
    ) -> None:
        world = make_fleet_harness()
        stale, down = FakePlatform(), FakePlatform()
        for number, name in enumerate(NAMES):
            platform = stale if name in SIDE_ONE else down
            world.start(name, CENTRES[number % 2], platform)
        for platform in (stale, down):
            platform.publish_bundle(1, b"1 one")
        world.list_all(stale, down)
        await asyncio.sleep(3.0)
        world.log.lines.clear()
        world.log.add("-- version 2 reaches only the second side, then its platform goes down")
        world.network.split(SIDE_ONE, SIDE_TWO)
        down.publish_bundle(2, b"2 two")
        await asyncio.sleep(1.0)
        down.down = True
        down.publish_instances(down.instances)
        await asyncio.sleep(20.0)
        note_versions(world)
        assert set(world.versions().values()) == {1, 2}
        world.log.add("-- the split heals")
        world.network.heal()
        await asyncio.sleep(10.0)
        note_versions(world)
        await world.stop()

        assert set(world.versions().values()) == {2}
        assert world.log.text() == snapshot

    async def test_pause_during_a_partition(self, snapshot: SnapshotAssertion) -> None:
        world = await start_four()
        world.log.add("-- the fleet splits")
        world.network.split(SIDE_ONE, SIDE_TWO)
        await asyncio.sleep(6.0)
        paused = asyncio.create_task(world.pause("entry-b", 8.0))
        await asyncio.sleep(1.0)
        world.log.add("-- version 2 is published")
        world.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(3.0)
        world.network.heal()
        world.log.add("-- the split heals")
        await paused
        is_fresh_at_once = world.controls_by_name["entry-b"].freshness.check()
        await asyncio.sleep(10.0)
        note_versions(world)
        states = {name: set(world.states_of(name).values()) for name in NAMES}
        await world.stop()

        assert not is_fresh_at_once
        assert world.controls_by_name["entry-b"].freshness.check()
        assert states == {name: {"live"} for name in NAMES}
        assert set(world.versions().values()) == {2}
        assert world.log.text() == snapshot

    async def test_leave_while_a_version_is_spread(self, snapshot: SnapshotAssertion) -> None:
        world = await start_four()
        leaver = world.controls_by_name["entry-b"]
        world.log.add("-- a repartitioned version 2 is published and entry-b leaves at once")
        world.platform.publish_bundle(2, b"2 two")
        leaver.leave()
        await asyncio.sleep(0.1)
        assert leaver.accepts_requests() and not leaver.is_ready()
        await asyncio.sleep(5.0)
        note_versions(world)
        assert leaver.accepts_requests()
        await asyncio.sleep(1.0)
        assert not leaver.accepts_requests()
        world.log.add("-- entry-b is gone")
        await world.kill("entry-b")
        await asyncio.sleep(10.0)
        states = set(world.states_of("entry-b").values())
        await world.stop()

        assert states == {"leaving"}
        assert world.log.text() == snapshot

    async def test_two_digests_under_one_version(self, snapshot: SnapshotAssertion) -> None:
        world = make_fleet_harness()
        one, two = FakePlatform(), FakePlatform()
        for number, name in enumerate(NAMES):
            world.start(name, CENTRES[number % 2], one if name in SIDE_ONE else two)
        for platform in (one, two):
            platform.publish_bundle(1, b"1 one")
        world.list_all(one, two)
        await asyncio.sleep(3.0)
        world.log.lines.clear()
        world.network.split(SIDE_ONE, SIDE_TWO)
        world.log.add("-- two operators publish a version 2, one on each side of a split")
        one.publish_bundle(2, b"2 theirs")
        two.publish_bundle(2, b"2 ours")
        await asyncio.sleep(10.0)
        world.network.heal()
        world.log.add("-- the split heals")
        await asyncio.sleep(15.0)
        digests = {c.active_publication.current.digest for c in world.controls_by_name.values()}
        note_versions(world)
        world.log.add("-- version 3 settles it")
        one.publish_bundle(3, b"3 settled")
        await asyncio.sleep(5.0)
        note_versions(world)
        await world.stop()

        assert digests == {"theirs", "ours"}
        assert {c.active_publication.current.digest for c in world.controls_by_name.values()} == {
            "settled"
        }
        assert world.log.text() == snapshot

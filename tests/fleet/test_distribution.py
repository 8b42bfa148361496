"""Tests of the distribution of configuration and instance list, on virtual time."""

import asyncio

import pytest

from fakes import FakePlatform
from fleet_harness import make_fleet_harness
from radishmount.codes import Code
from radishmount.fleet import is_watcher


pytestmark = pytest.mark.looptime

NAMES = [f"entry-{letter}" for letter in "abcdef"]
CENTRES = ("milano", "torino")
IN_FORCE_LIMIT_S = 5.0


class TestDistribution:
    """A published version is active everywhere within seconds, and none goes back."""

    async def test_a_version_is_in_force_everywhere(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        harness.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(IN_FORCE_LIMIT_S)

        assert set(harness.versions_in_force().values()) == {2}
        await harness.stop()

    async def test_one_instance_that_can_read_the_platform_is_enough(self) -> None:
        harness = make_fleet_harness()
        down = FakePlatform(down=True)
        for number, name in enumerate(NAMES):
            platform = harness.platform if name == "entry-f" else down
            harness.start(name, CENTRES[number % 2], platform, seeds=("entry-f:2",))
        harness.platform.publish_bundle(1, b"1 one")
        harness.publish_instances()
        await asyncio.sleep(IN_FORCE_LIMIT_S)

        assert set(harness.versions_in_force().values()) == {1}
        assert all(
            control_plane.is_ready() for control_plane in harness.control_planes_by_name.values()
        )
        await harness.stop()

    async def test_a_bundle_of_many_pieces_arrives_whole(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        harness.platform.publish_bundle(2, b"2 two " + b"x" * 1_500_000)
        await asyncio.sleep(IN_FORCE_LIMIT_S)

        assert set(harness.versions_in_force().values()) == {2}
        bodies = {c.active_publication.body for c in harness.control_planes_by_name.values()}
        assert {len(body) for body in bodies} == {1_500_006}
        await harness.stop()

    async def test_platform_reads_do_not_grow_with_the_fleet(self) -> None:
        reads_by_size = {}
        for size in (6, 30):
            harness = make_fleet_harness()
            names = [f"entry-{number:02d}" for number in range(size)]
            await harness.start_all(names, CENTRES)
            harness.platform.reads = 0
            await asyncio.sleep(60.0)
            reads_by_size[size] = harness.platform.reads / 60.0
            await harness.stop()

        # Two values, each read by two watchers in each of two data centres with long polls of 10 s,
        # and once in 2 s by all other instances together.
        assert reads_by_size[6] <= 2.0
        assert reads_by_size[30] <= 2.0

    async def test_other_instances_become_watchers_when_the_watchers_are_lost(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, ("milano",))
        watchers = [n for n, c in harness.control_planes_by_name.items() if is_watcher(c.fleet)]
        for name in watchers:
            await harness.kill(name)
        await asyncio.sleep(5.0)
        harness.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(IN_FORCE_LIMIT_S)

        assert len(watchers) == 2
        assert set(harness.versions_in_force().values()) == {2}
        await harness.stop()

    async def test_other_instances_read_the_platform_when_the_watchers_cannot(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, ("milano",))
        for name, control_plane in harness.control_planes_by_name.items():
            if is_watcher(control_plane.fleet):
                harness.platforms_by_name[name].platform = FakePlatform(down=True)
        await asyncio.sleep(12.0)
        harness.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(16.0)

        assert set(harness.versions_in_force().values()) == {2}
        await harness.stop()

    async def test_an_invalid_bundle_is_refused_and_a_later_version_is_applied(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        harness.platform.publish_bundle(2, b"rubbish")
        await asyncio.sleep(30.0)
        during = set(harness.versions_in_force().values())
        reads = harness.platform.reads
        await asyncio.sleep(30.0)
        reads_in_30_s = harness.platform.reads - reads
        harness.platform.publish_bundle(3, b"3 three")
        await asyncio.sleep(15.0)

        assert during == {1}
        assert reads_in_30_s < 60
        assert set(harness.versions_in_force().values()) == {3}
        await harness.stop()

    async def test_an_older_bundle_of_the_platform_is_refused(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        harness.platform.publish_bundle(5, b"5 five")
        await asyncio.sleep(3.0)
        harness.platform.publish_bundle(9, b"3 three")
        await asyncio.sleep(30.0)

        assert set(harness.versions_in_force().values()) == {5}
        refused = sum(
            counters.value("bundles_refused", Code.VERSION_NOT_GROWING.name)
            for counters in harness.counters_by_name.values()
        )
        assert refused > 0
        assert all(
            control_plane.is_ready() for control_plane in harness.control_planes_by_name.values()
        )
        await harness.stop()

    async def test_instances_stay_ready_while_the_platform_is_down(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        harness.platform.down = True
        harness.platform.publish_instances(harness.platform.instances)
        await asyncio.sleep(600.0)

        assert all(
            control_plane.is_ready() for control_plane in harness.control_planes_by_name.values()
        )
        assert set(harness.versions_in_force().values()) == {1}
        assert harness.platform.reads / 600.0 < 5.0
        await harness.stop()

    async def test_an_empty_list_is_refused(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        listed = harness.platform.instances
        harness.platform.publish_instances(type(listed)(9, ()))
        await asyncio.sleep(15.0)

        for control_plane in harness.control_planes_by_name.values():
            assert control_plane.fleet.listed_names == NAMES
        await harness.stop()

    async def test_an_invalid_bundle_of_a_peer_is_fetched_only_once(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES[:2], CENTRES)
        publication = harness.control_planes_by_name["entry-a"].active_publication
        publication.current = type(publication.current)(7, "seven")
        publication.body = b"rubbish"
        await asyncio.sleep(30.0)

        counters = harness.counters_by_name["entry-b"]
        assert harness.versions_in_force()["entry-b"] == 1
        assert counters.value("bundles_refused", Code.BROKEN_SYNTAX.name) == 1
        await harness.stop()

    async def test_a_new_instance_applies_the_highest_version_despite_a_stale_platform(
        self,
    ) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        stale = FakePlatform(instances=harness.platform.instances)
        stale.publish_bundle(1, b"1 one")
        harness.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(5.0)
        await harness.kill("entry-c")
        again = harness.start("entry-c", "milano", stale)
        while not again.has_started:
            await asyncio.sleep(0.01)

        assert again.active_publication.current.version == 2
        await harness.stop()

    async def test_status_shows_version_and_age(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES[:2], CENTRES)
        await asyncio.sleep(7.0)

        shown = harness.control_planes_by_name["entry-a"].status()["publication"]
        assert (shown["version"], shown["digest"]) == (1, "one")
        assert 9_000.0 <= shown["age_ms"] <= 10_000.0
        await harness.stop()

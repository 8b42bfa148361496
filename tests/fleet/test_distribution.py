"""The spread of configuration and instance list, on virtual time."""

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
    """A published version is in force everywhere within seconds, and never goes back."""

    async def test_a_version_is_in_force_everywhere(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        world.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(IN_FORCE_LIMIT_S)

        assert set(world.versions().values()) == {2}
        await world.stop()

    async def test_one_instance_that_reads_the_platform_is_enough(self) -> None:
        world = make_fleet_harness()
        down = FakePlatform(down=True)
        for number, name in enumerate(NAMES):
            platform = world.platform if name == "entry-f" else down
            world.start(name, CENTRES[number % 2], platform, seeds=("entry-f:2",))
        world.platform.publish_bundle(1, b"1 one")
        world.list_all()
        await asyncio.sleep(IN_FORCE_LIMIT_S)

        assert set(world.versions().values()) == {1}
        assert all(control.is_ready() for control in world.controls_by_name.values())
        await world.stop()

    async def test_a_bundle_of_many_pieces_arrives_whole(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        world.platform.publish_bundle(2, b"2 two " + b"x" * 1_500_000)
        await asyncio.sleep(IN_FORCE_LIMIT_S)

        assert set(world.versions().values()) == {2}
        bodies = {c.active_publication.body for c in world.controls_by_name.values()}
        assert {len(body) for body in bodies} == {1_500_006}
        await world.stop()

    async def test_reads_do_not_grow_with_the_fleet(self) -> None:
        reads_by_size = {}
        for size in (6, 30):
            world = make_fleet_harness()
            names = [f"entry-{number:02d}" for number in range(size)]
            await world.start_all(names, CENTRES)
            world.platform.reads = 0
            await asyncio.sleep(60.0)
            reads_by_size[size] = world.platform.reads / 60.0
            await world.stop()

        # Two values, two watchers in each of two data centres, a long poll of ten seconds, and
        # one fallback read in two seconds for each value.
        assert reads_by_size[6] <= 2.0
        assert reads_by_size[30] <= 2.0

    async def test_the_duty_to_watch_moves_when_the_watchers_die(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, ("milano",))
        watchers = [n for n, c in world.controls_by_name.items() if is_watcher(c.fleet)]
        for name in watchers:
            await world.kill(name)
        await asyncio.sleep(5.0)
        world.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(IN_FORCE_LIMIT_S)

        assert len(watchers) == 2
        assert set(world.versions().values()) == {2}
        await world.stop()

    async def test_watchers_that_cannot_read_are_made_up_for(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, ("milano",))
        for name, control in world.controls_by_name.items():
            if is_watcher(control.fleet):
                world.platforms_by_name[name].platform = FakePlatform(down=True)
        await asyncio.sleep(12.0)
        world.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(16.0)

        assert set(world.versions().values()) == {2}
        await world.stop()

    async def test_rubbish_is_refused_whole_and_harms_nothing(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        world.platform.publish_bundle(2, b"rubbish")
        await asyncio.sleep(30.0)
        during = set(world.versions().values())
        reads = world.platform.reads
        await asyncio.sleep(30.0)
        reads_in_30_s = world.platform.reads - reads
        world.platform.publish_bundle(3, b"3 three")
        await asyncio.sleep(15.0)

        assert during == {1}
        assert reads_in_30_s < 60
        assert set(world.versions().values()) == {3}
        await world.stop()

    async def test_a_platform_that_goes_back_harms_nothing(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        world.platform.publish_bundle(5, b"5 five")
        await asyncio.sleep(3.0)
        world.platform.publish_bundle(9, b"3 three")
        await asyncio.sleep(30.0)

        assert set(world.versions().values()) == {5}
        refused = sum(
            counters.value("bundles_refused", Code.VERSION_NOT_GROWING.name)
            for counters in world.counters_by_name.values()
        )
        assert refused > 0
        assert all(control.is_ready() for control in world.controls_by_name.values())
        await world.stop()

    async def test_a_platform_that_is_down_harms_nothing(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        world.platform.down = True
        world.platform.publish_instances(world.platform.instances)
        await asyncio.sleep(600.0)

        assert all(control.is_ready() for control in world.controls_by_name.values())
        assert set(world.versions().values()) == {1}
        assert world.platform.reads / 600.0 < 5.0
        await world.stop()

    async def test_an_empty_list_is_refused(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        listed = world.platform.instances
        world.platform.publish_instances(type(listed)(9, ()))
        await asyncio.sleep(15.0)

        for control in world.controls_by_name.values():
            assert control.fleet.listed_names == NAMES
        await world.stop()

    async def test_an_invalid_offer_of_a_peer_is_not_fetched_again(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES[:2], CENTRES)
        liar = world.controls_by_name["entry-a"].active_publication
        liar.current = type(liar.current)(7, "seven")
        liar.body = b"rubbish"
        await asyncio.sleep(30.0)

        counters = world.counters_by_name["entry-b"]
        assert world.versions()["entry-b"] == 1
        assert counters.value("bundles_refused", Code.BROKEN_SYNTAX.name) == 1
        await world.stop()

    async def test_a_new_instance_takes_the_highest_under_a_stale_platform(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        stale = FakePlatform(instances=world.platform.instances)
        stale.publish_bundle(1, b"1 one")
        world.platform.publish_bundle(2, b"2 two")
        await asyncio.sleep(5.0)
        await world.kill("entry-c")
        again = world.start("entry-c", "milano", stale)
        while not again.has_started:
            await asyncio.sleep(0.01)

        assert again.active_publication.current.version == 2
        await world.stop()

    async def test_status_tells_version_and_age(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES[:2], CENTRES)
        await asyncio.sleep(7.0)

        told = world.controls_by_name["entry-a"].status()["publication"]
        assert (told["version"], told["digest"]) == (1, "one")
        assert 9_000.0 <= told["age_ms"] <= 10_000.0
        await world.stop()

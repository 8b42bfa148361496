"""Heartbeats, suspicion, refutation and the spread of news, on virtual time."""

import asyncio

import pytest

from fleet_harness import make_fleet_harness
from radishmount.fleet import MemberState


pytestmark = pytest.mark.looptime

NAMES = [f"entry-{letter}" for letter in "abcdef"]
CENTRES = ("milano", "torino")
LIVE = {"live"}
SUSPECTED = {"suspected"}


class TestMembership:
    """What instances believe of one another."""

    async def test_all_are_live_when_nothing_happens(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        await asyncio.sleep(60.0)

        for name in NAMES:
            assert set(world.states_of(name).values()) == LIVE
            assert world.counters_by_name[name].value("peer_streams_silent") == 0
        await world.stop()

    async def test_a_dead_instance_is_suspected_within_seconds(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        await world.kill("entry-c")
        await asyncio.sleep(5.0)

        assert set(world.states_of("entry-c").values()) == SUSPECTED
        await world.stop()

    async def test_one_broken_path_is_no_suspicion(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        world.network.cut_pairs.add(frozenset(("entry-a", "entry-b")))
        await asyncio.sleep(30.0)

        assert set(world.states_of("entry-a").values()) == LIVE
        assert set(world.states_of("entry-b").values()) == LIVE
        asked = world.counters_by_name["entry-a"].value("peers_reached_by_others_only")
        assert asked > 0
        await world.stop()

    async def test_a_silent_stream_is_replaced_without_suspicion(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        world.network.silent_pairs.add(frozenset(("entry-a", "entry-b")))
        await asyncio.sleep(8.0)

        assert set(world.states_of("entry-a").values()) == LIVE
        assert world.network.silent_pairs == set()
        assert "entry-b" in world.controls_by_name["entry-a"].peers.sessions_by_name
        await world.stop()

    async def test_a_split_fleet_heals(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        world.network.split(tuple(NAMES[:3]), tuple(NAMES[3:]))
        await asyncio.sleep(20.0)
        other_side = {world.states_of("entry-f")[name] for name in NAMES[:3]}
        world.network.heal()
        await asyncio.sleep(12.0)

        assert other_side == SUSPECTED
        for name in NAMES:
            assert set(world.states_of(name).values()) == LIVE
        await world.stop()

    async def test_leaving_is_known_at_once(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        world.controls_by_name["entry-b"].leave()
        await asyncio.sleep(0.1)

        assert set(world.states_of("entry-b").values()) == {"leaving"}
        await world.stop()

    async def test_a_false_suspicion_is_refuted(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        members = world.controls_by_name["entry-a"].fleet.members
        members.suspect("entry-b", members.known_incarnation("entry-b"))
        await asyncio.sleep(0.5)

        assert set(world.states_of("entry-b").values()) == LIVE
        await world.stop()

    async def test_a_restart_whose_clock_went_back_grows_all_the_same(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        before = world.controls_by_name["entry-b"].fleet.members.own.incarnation
        await world.kill("entry-b")
        await asyncio.sleep(10.0)
        again = world.start("entry-b", "torino", wall_ms=-1_000_000.0)
        first = again.fleet.members.own.incarnation
        await asyncio.sleep(5.0)

        assert first < before
        assert again.fleet.members.own.incarnation > before
        assert again.is_ready()
        assert set(world.states_of("entry-b").values()) == LIVE
        await world.stop()

    async def test_an_instance_that_others_do_not_list_yet_keeps_its_stream(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        newcomer = world.start("entry-x")
        world.network.opened = 0
        await asyncio.sleep(30.0)

        assert newcomer.is_ready()
        assert world.network.opened <= len(NAMES)
        assert world.counters_by_name["entry-x"].value("peer_streams_silent") == 0
        await world.stop()

    async def test_overload_is_told_and_taken_back(self) -> None:
        world = make_fleet_harness()
        await world.start_all(NAMES, CENTRES)
        control = world.controls_by_name["entry-b"]
        control.take_load(1.0)
        await asyncio.sleep(0.1)
        during = set(world.states_of("entry-b").values())
        control.take_load(0.9)
        await asyncio.sleep(0.1)
        still = set(world.states_of("entry-b").values())
        control.take_load(0.1)
        await asyncio.sleep(0.1)

        assert during == still == {str(MemberState.OVERLOADED)}
        assert set(world.states_of("entry-b").values()) == LIVE
        await world.stop()

    async def test_news_cross_a_large_fleet_within_seconds(self) -> None:
        world = make_fleet_harness()
        names = [f"entry-{number:02d}" for number in range(40)]
        await world.start_all(names, ("milano", "torino", "verona", "lucca"))
        open_streams = [len(c.peers.sessions_by_name) for c in world.controls_by_name.values()]
        await world.kill("entry-07")
        await asyncio.sleep(8.0)

        assert max(open_streams) <= 8
        assert set(world.states_of("entry-07").values()) == SUSPECTED
        await world.stop()

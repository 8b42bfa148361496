"""Tests of heartbeats, suspicion, refutation and gossip, on virtual time."""

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
    """The states of an instance at the other ones."""

    async def test_all_instances_are_live_without_faults(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        await asyncio.sleep(60.0)

        for name in NAMES:
            assert set(harness.states_of(name).values()) == LIVE
            assert harness.counters_by_name[name].value("peer_streams_silent") == 0
        await harness.stop()

    async def test_a_dead_instance_is_suspected_within_seconds(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        await harness.kill("entry-c")
        await asyncio.sleep(5.0)

        assert set(harness.states_of("entry-c").values()) == SUSPECTED
        await harness.stop()

    async def test_one_broken_path_causes_no_suspicion(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        harness.network.cut_pairs.add(frozenset(("entry-a", "entry-b")))
        await asyncio.sleep(30.0)

        assert set(harness.states_of("entry-a").values()) == LIVE
        assert set(harness.states_of("entry-b").values()) == LIVE
        reached_by_others = harness.counters_by_name["entry-a"].value(
            "peers_reached_by_others_only"
        )
        assert reached_by_others > 0
        await harness.stop()

    async def test_a_silent_stream_is_replaced_without_suspicion(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        harness.network.silent_pairs.add(frozenset(("entry-a", "entry-b")))
        await asyncio.sleep(8.0)

        assert set(harness.states_of("entry-a").values()) == LIVE
        assert harness.network.silent_pairs == set()
        assert "entry-b" in harness.control_planes_by_name["entry-a"].peers.sessions_by_name
        await harness.stop()

    async def test_all_are_live_again_after_a_partition(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        harness.network.split(tuple(NAMES[:3]), tuple(NAMES[3:]))
        await asyncio.sleep(20.0)
        other_side = {harness.states_of("entry-f")[name] for name in NAMES[:3]}
        harness.network.heal()
        await asyncio.sleep(12.0)

        assert other_side == SUSPECTED
        for name in NAMES:
            assert set(harness.states_of(name).values()) == LIVE
        await harness.stop()

    async def test_leaving_is_known_everywhere_at_once(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        harness.control_planes_by_name["entry-b"].leave()
        await asyncio.sleep(0.1)

        assert set(harness.states_of("entry-b").values()) == {"leaving"}
        await harness.stop()

    async def test_a_false_suspicion_is_refuted(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        members = harness.control_planes_by_name["entry-a"].fleet.members
        members.suspect("entry-b", members.known_incarnation("entry-b"))
        await asyncio.sleep(0.5)

        assert set(harness.states_of("entry-b").values()) == LIVE
        await harness.stop()

    async def test_the_incarnation_grows_although_the_wall_clock_went_back(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        before = harness.control_planes_by_name["entry-b"].fleet.members.own.incarnation
        await harness.kill("entry-b")
        await asyncio.sleep(10.0)
        again = harness.start("entry-b", "torino", wall_ms=-1_000_000.0)
        first = again.fleet.members.own.incarnation
        await asyncio.sleep(5.0)

        assert first < before
        assert again.fleet.members.own.incarnation > before
        assert again.is_ready()
        assert set(harness.states_of("entry-b").values()) == LIVE
        await harness.stop()

    async def test_an_instance_that_others_do_not_list_yet_keeps_its_stream(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        newcomer = harness.start("entry-x")
        harness.network.opened_count = 0
        await asyncio.sleep(30.0)

        assert newcomer.is_ready()
        assert harness.network.opened_count <= len(NAMES)
        assert harness.counters_by_name["entry-x"].value("peer_streams_silent") == 0
        await harness.stop()

    async def test_overload_is_announced_and_revoked_with_hysteresis(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(NAMES, CENTRES)
        control_plane = harness.control_planes_by_name["entry-b"]
        control_plane.set_load(1.0)
        await asyncio.sleep(0.1)
        during = set(harness.states_of("entry-b").values())
        control_plane.set_load(0.9)
        await asyncio.sleep(0.1)
        still = set(harness.states_of("entry-b").values())
        control_plane.set_load(0.1)
        await asyncio.sleep(0.1)

        assert during == still == {str(MemberState.OVERLOADED)}
        assert set(harness.states_of("entry-b").values()) == LIVE
        await harness.stop()

    async def test_a_suspicion_crosses_a_large_fleet_within_seconds(self) -> None:
        harness = make_fleet_harness()
        names = [f"entry-{number:02d}" for number in range(40)]
        await harness.start_all(names, ("milano", "torino", "verona", "lucca"))
        open_streams = [
            len(c.peers.sessions_by_name) for c in harness.control_planes_by_name.values()
        ]
        await harness.kill("entry-07")
        await asyncio.sleep(8.0)

        assert max(open_streams) <= 8
        assert set(harness.states_of("entry-07").values()) == SUSPECTED
        await harness.stop()

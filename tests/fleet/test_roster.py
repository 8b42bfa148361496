"""Tests of instances that find each other through seeds, on virtual time."""

import asyncio
from random import Random

import pytest

from fakes import virtual_clock
from peer_fakes import FakeNetwork
from radishmount.audit import AuditTrail
from radishmount.counters import Counters
from radishmount.fleet import (
    Fleet,
    HeldVersions,
    Instance,
    Membership,
    MemberState,
    MemberTable,
    MemberUpdate,
    Peers,
    Roster,
    choose_preferred,
)


pytestmark = pytest.mark.looptime

CENTRES = ("milano", "torino")
SEEDS = ("e0:2", "e1:2", "e2:2")


class RosterHarness:
    """Instances on a fake network, each with a roster and a membership."""

    def __init__(self) -> None:
        self.clock = virtual_clock()
        self.network = FakeNetwork()
        self.rosters_by_name: dict[str, Roster] = {}
        self.memberships_by_name: dict[str, Membership] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start(
        self,
        name: str,
        data_centre: str = "milano",
        seeds: tuple[str, ...] = SEEDS,
        *,
        forgets: bool = True,
        caller_port: int = 1,
    ) -> None:
        """Start an instance. Unless it `forgets`, it never drops another one from its list."""
        own = Instance(name, data_centre, f"{name}:{caller_port}", f"{name}:2")
        counters, audit = Counters(), AuditTrail(self.clock)
        started = int(self.clock.now_ms()) + 1
        members = MemberTable(MemberUpdate(name, started, 0, MemberState.LIVE), data_centre)
        fleet = Fleet(name, data_centre, members)
        peers = Peers(fleet, self.network.open_peer_for(members, counters), self.clock, counters)
        random = Random(name)
        membership = Membership(
            fleet,
            peers,
            self.clock,
            random,
            audit,
            counters,
            held_versions=lambda: HeldVersions(0, "", 0),
        )
        roster = Roster(own, seeds, fleet, peers, self.clock, random, audit, counters)

        async def follow() -> None:
            membership.update_neighbours()

        roster.on_change.append(follow)
        self.network.down_names.discard(name)
        self.network.add(name, members, peers)
        membership.start()
        roster.start()
        self.rosters_by_name[name] = roster
        self.memberships_by_name[name] = membership
        self.tasks += [
            asyncio.create_task(roster.run()),
            asyncio.create_task(membership.probe_random_instances()),
        ]
        if forgets:
            self.tasks.append(asyncio.create_task(roster.run_expiry()))

    def known_names(self) -> dict[str, set[str]]:
        """Return the names of the instances that each one knows."""
        return {name: set(roster.fleet.by_name) for name, roster in self.rosters_by_name.items()}

    def preferred_names(self) -> dict[str, set[str]]:
        """Return the names of the instances that each one names to callers in its data centre."""
        return {
            name: {i.name for i in choose_preferred(roster.fleet, roster.own.data_centre, 64)}
            for name, roster in self.rosters_by_name.items()
        }

    async def kill(self, name: str) -> None:
        """Stop an instance without a leaving message."""
        self.network.down_names.add(name)
        self.rosters_by_name.pop(name)
        await self.memberships_by_name.pop(name).stop()

    async def stop(self) -> None:
        """Stop all instances."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for membership in self.memberships_by_name.values():
            await membership.stop()
            await membership.peers.stop()
        await self.network.stop()


class TestRoster:
    """All instances come to know all others."""

    async def test_all_know_all_within_two_seconds(self) -> None:
        harness = RosterHarness()
        names = [f"e{n}" for n in range(9)]
        for number, name in enumerate(names):
            harness.start(name, CENTRES[number % 2])
        await asyncio.sleep(2.0)

        assert all(known == set(names) for known in harness.known_names().values())
        await harness.stop()

    async def test_two_of_three_seeds_may_be_down(self) -> None:
        harness = RosterHarness()
        names = ["e2", "e3", "e4", "e5"]
        for name in names:
            harness.start(name)
        await asyncio.sleep(10.0)

        assert all(known == set(names) for known in harness.known_names().values())
        await harness.stop()

    async def test_a_new_instance_becomes_known_everywhere(self) -> None:
        harness = RosterHarness()
        names = [f"e{n}" for n in range(5)]
        for name in names:
            harness.start(name)
        await asyncio.sleep(3.0)
        harness.start("late")
        await asyncio.sleep(2.0)

        assert all("late" in known for known in harness.known_names().values())
        await harness.stop()

    async def test_two_partitions_join_after_the_network_heals(self) -> None:
        harness = RosterHarness()
        harness.network.split(("e0", "e3"), ("e1", "e4"))
        for name in ("e0", "e3"):
            harness.start(name)
        for name in ("e1", "e4"):
            harness.start(name)
        await asyncio.sleep(5.0)
        apart = harness.known_names()
        harness.network.heal()
        await asyncio.sleep(15.0)

        assert apart["e0"] == {"e0", "e3"}
        assert all(len(known) == 4 for known in harness.known_names().values())
        await harness.stop()

    async def test_a_lost_instance_is_not_preferred_but_listed_until_it_expires(self) -> None:
        harness = RosterHarness()
        for n in range(4):
            harness.start(f"e{n}")
        await asyncio.sleep(3.0)
        await harness.kill("e3")
        await asyncio.sleep(6.0)
        fleet = harness.rosters_by_name["e0"].fleet
        preferred = {instance.name for instance in choose_preferred(fleet, "milano", 64)}
        listed = set(fleet.listed_names)
        await asyncio.sleep(80.0)

        assert "e3" not in preferred
        assert "e3" in listed
        assert "e3" not in fleet.listed_names
        await harness.stop()

    async def test_an_instance_that_knows_no_other_prefers_itself(self) -> None:
        harness = RosterHarness()
        harness.start("e9")
        await asyncio.sleep(5.0)
        roster = harness.rosters_by_name["e9"]

        assert roster.is_settled()
        preferred = [instance.name for instance in choose_preferred(roster.fleet, "milano", 64)]
        assert preferred == ["e9"]
        await harness.stop()


class TestChangedInstances:
    """An instance starts again with other settings."""

    @pytest.mark.parametrize("count", [9, 69])
    async def test_all_know_the_new_address(self, count: int) -> None:
        """Guards against an old description that one peer takes over from another one."""
        harness = RosterHarness()
        for number in range(count):
            harness.start(f"e{number}", CENTRES[number % 2])
        await asyncio.sleep(5.0)
        for port, name in ((8, "e4"), (9, "e4"), (9, "e7")):
            await harness.kill(name)
            await asyncio.sleep(0.3)
            harness.start(name, CENTRES[int(name[1:]) % 2], caller_port=port)
            await asyncio.sleep(1.0)
        await asyncio.sleep(5.0)

        addresses = {
            (name, roster.fleet.by_name[name].caller_address)
            for roster in harness.rosters_by_name.values()
            for name in ("e4", "e7")
        }
        assert addresses == {("e4", "e4:9"), ("e7", "e7:9")}
        await harness.stop()

    @pytest.mark.parametrize("count", [9, 69])
    async def test_a_part_that_was_cut_off_learns_the_new_address(self, count: int) -> None:
        """Guards against two parts of a fleet that take over each other's descriptions."""
        harness = RosterHarness()
        for number in range(count):
            harness.start(f"e{number}", CENTRES[number % 2])
        await asyncio.sleep(5.0)
        names = sorted(harness.rosters_by_name)
        near = [name for name in names if int(name[1:]) % 3]
        far = [name for name in names if name not in near]
        harness.network.cut_pairs |= {frozenset((one, other)) for one in near for other in far}
        harness.network.silent_pairs |= {frozenset((one, other)) for one in near for other in far}
        await asyncio.sleep(3.0)
        await harness.kill("e4")
        await asyncio.sleep(0.3)
        harness.start("e4", CENTRES[0], caller_port=9)
        await asyncio.sleep(5.0)
        harness.network.cut_pairs.clear()
        harness.network.silent_pairs.clear()
        await asyncio.sleep(10.0)

        addresses = {
            roster.fleet.by_name["e4"].caller_address for roster in harness.rosters_by_name.values()
        }
        assert addresses == {"e4:9"}
        await harness.stop()


class TestInstancesThatAreOff:
    """Callers are not sent to instances that have been off for long."""

    async def test_an_instance_that_is_off_together_with_its_neighbours_is_suspected(self) -> None:
        """Guards against addresses of an instance that has no neighbour left to notice its loss.

        Only neighbours test whether an instance answers, and they are chosen among all listed ones.
        """
        harness = RosterHarness()
        for number in range(40):
            harness.start(f"e{number}")
        await asyncio.sleep(5.0)
        victim = "e20"
        neighbours = list(harness.memberships_by_name[victim].tasks_by_neighbour)
        for name in (victim, *neighbours):
            await harness.kill(name)
        await asyncio.sleep(30.0)
        naming = [name for name, names in harness.preferred_names().items() if victim in names]
        await harness.stop()

        assert naming == []

    async def test_an_instance_that_was_dropped_is_not_listed_again_by_hearsay(self) -> None:
        """Guards against addresses of an instance that a peer with an older list brings back.

        A peer that stood still, or was cut off, drops lost instances later than the others.
        """
        harness = RosterHarness()
        for number in range(5):
            harness.start(f"e{number}", forgets=number != 1)
        await asyncio.sleep(3.0)
        await harness.kill("e3")
        await asyncio.sleep(80.0)
        dropped = "e3" not in harness.known_names()["e0"]
        for session in list(harness.memberships_by_name["e1"].peers.sessions_by_name.values()):
            await session.close()
        naming: set[str] = set()
        for _ in range(1_000):
            await asyncio.sleep(0.005)
            naming |= {n for n, names in harness.preferred_names().items() if "e3" in names}
        harness.start("e3")
        await asyncio.sleep(3.0)
        known_again = {name for name, known in harness.known_names().items() if "e3" in known}
        await harness.stop()

        assert dropped
        assert naming == set()
        assert known_again == {"e0", "e1", "e2", "e3", "e4"}


class TestChoosePreferred:
    """The instances for callers that pick any of them."""

    def fleet(self, *instances: Instance) -> Fleet:
        """Return a fleet that knows `instances`."""
        members = MemberTable(MemberUpdate("a", 1, 0, MemberState.LIVE), "milano")
        fleet = Fleet("a", "milano", members)
        fleet.by_name = {instance.name: instance for instance in instances}
        return fleet

    def test_two_instances_of_the_own_data_centre_are_enough(self) -> None:
        fleet = self.fleet(
            Instance("a", "milano", "a:1", "a:2"),
            Instance("b", "milano", "b:1", "b:2"),
            Instance("c", "torino", "c:1", "c:2"),
        )

        assert {i.name for i in choose_preferred(fleet, "milano", 64)} == {"a", "b"}

    def test_an_instance_of_another_data_centre_is_added_to_a_single_one(self) -> None:
        fleet = self.fleet(
            Instance("a", "milano", "a:1", "a:2"), Instance("c", "torino", "c:1", "c:2")
        )

        assert [i.name for i in choose_preferred(fleet, "torino", 64)] == ["c", "a"]

    def test_a_leaving_instance_is_not_preferred(self) -> None:
        fleet = self.fleet(
            Instance("a", "milano", "a:1", "a:2"), Instance("b", "milano", "b:1", "b:2")
        )
        fleet.members.apply(MemberUpdate("b", 1, 1, MemberState.LEAVING), "told")

        assert [i.name for i in choose_preferred(fleet, "milano", 64)] == ["a"]


class TestDigests:
    """Instances that know the same do not send it to each other again."""

    async def test_a_stream_between_two_that_know_the_same_carries_no_descriptions(self) -> None:
        harness = RosterHarness()
        for number in range(4):
            harness.start(f"e{number}", CENTRES[number % 2])
        await asyncio.sleep(3.0)
        harness.network.sent_frames_by_kind.clear()
        await harness.memberships_by_name["e0"].peers.sessions_by_name["e3"].close()
        await asyncio.sleep(2.0)
        sent = dict(harness.network.sent_frames_by_kind)
        await harness.stop()

        assert sent["RosterDigest"] >= 2
        assert "RosterNews" not in sent

    async def test_two_parts_of_a_fleet_tell_each_other_all_once_they_meet(self) -> None:
        harness = RosterHarness()
        harness.network.split(("e0", "e2"), ("e1", "e3"))
        for name in ("e0", "e1", "e2", "e3"):
            harness.start(name)
        await asyncio.sleep(5.0)
        before = harness.known_names()
        harness.network.heal()
        await asyncio.sleep(8.0)
        after = harness.known_names()
        await harness.stop()

        assert before["e2"] == {"e0", "e2"}
        assert all(known == {"e0", "e1", "e2", "e3"} for known in after.values())

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
    """Instances on a fake network."""

    def __init__(self) -> None:
        self.clock = virtual_clock()
        self.network = FakeNetwork()
        self.rosters: dict[str, Roster] = {}
        self.memberships: dict[str, Membership] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, data_centre: str = "milano", seeds: tuple[str, ...] = SEEDS) -> None:
        """Start an instance."""
        own = Instance(name, data_centre, f"{name}:1", f"{name}:2")
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
        self.network.down.discard(name)
        self.network.add(name, members, peers)
        membership.start()
        roster.start()
        self.rosters[name] = roster
        self.memberships[name] = membership
        self.tasks += [
            asyncio.create_task(roster.run()),
            asyncio.create_task(roster.run_expiry()),
        ]

    def known(self) -> dict[str, set[str]]:
        """Return the instances that each one knows."""
        return {name: set(roster.fleet.by_name) for name, roster in self.rosters.items()}

    async def kill(self, name: str) -> None:
        """End an instance without a word."""
        self.network.down.add(name)
        self.rosters.pop(name)
        await self.memberships.pop(name).stop()

    async def stop(self) -> None:
        """End everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for membership in self.memberships.values():
            await membership.stop()
            await membership.peers.stop()
        await self.network.stop()


class TestRoster:
    """Everyone comes to know everyone."""

    async def test_all_know_all_within_two_seconds(self) -> None:
        world = RosterHarness()
        names = [f"e{n}" for n in range(9)]
        for number, name in enumerate(names):
            world.start(name, CENTRES[number % 2])
        await asyncio.sleep(2.0)

        assert all(known == set(names) for known in world.known().values())
        await world.stop()

    async def test_two_of_three_seeds_may_be_down(self) -> None:
        world = RosterHarness()
        names = ["e2", "e3", "e4", "e5"]
        for name in names:
            world.start(name)
        await asyncio.sleep(10.0)

        assert all(known == set(names) for known in world.known().values())
        await world.stop()

    async def test_a_newcomer_is_known_everywhere(self) -> None:
        world = RosterHarness()
        names = [f"e{n}" for n in range(5)]
        for name in names:
            world.start(name)
        await asyncio.sleep(3.0)
        world.start("late")
        await asyncio.sleep(2.0)

        assert all("late" in known for known in world.known().values())
        await world.stop()

    async def test_parts_that_grew_apart_meet_again(self) -> None:
        world = RosterHarness()
        world.network.split(("e0", "e3"), ("e1", "e4"))
        for name in ("e0", "e3"):
            world.start(name)
        for name in ("e1", "e4"):
            world.start(name)
        await asyncio.sleep(5.0)
        apart = world.known()
        world.network.heal()
        await asyncio.sleep(15.0)

        assert apart["e0"] == {"e0", "e3"}
        assert all(len(known) == 4 for known in world.known().values())
        await world.stop()

    async def test_a_lost_instance_is_not_named_but_counted_until_it_is_forgotten(self) -> None:
        world = RosterHarness()
        for n in range(4):
            world.start(f"e{n}")
        await asyncio.sleep(3.0)
        await world.kill("e3")
        await asyncio.sleep(6.0)
        fleet = world.rosters["e0"].fleet
        named = {instance.name for instance in choose_preferred(fleet, "milano", 64)}
        counted = set(fleet.listed_names)
        await asyncio.sleep(80.0)

        assert "e3" not in named
        assert "e3" in counted
        assert "e3" not in fleet.listed_names
        await world.stop()

    async def test_one_that_knows_nobody_names_itself(self) -> None:
        world = RosterHarness()
        world.start("e9")
        await asyncio.sleep(5.0)
        roster = world.rosters["e9"]

        assert roster.is_settled()
        named = [instance.name for instance in choose_preferred(roster.fleet, "milano", 64)]
        assert named == ["e9"]
        await world.stop()


class TestChooseNearest:
    """Addresses for callers that pick any of them."""

    def fleet(self, *instances: Instance) -> Fleet:
        """Return a fleet that knows `instances`."""
        members = MemberTable(MemberUpdate("a", 1, 0, MemberState.LIVE), "milano")
        fleet = Fleet("a", "milano", members)
        fleet.by_name = {instance.name: instance for instance in instances}
        return fleet

    def test_the_own_data_centre_is_enough_when_one_may_be_lost(self) -> None:
        fleet = self.fleet(
            Instance("a", "milano", "a:1", "a:2"),
            Instance("b", "milano", "b:1", "b:2"),
            Instance("c", "torino", "c:1", "c:2"),
        )

        assert {i.name for i in choose_preferred(fleet, "milano", 64)} == {"a", "b"}

    def test_another_data_centre_fills_up(self) -> None:
        fleet = self.fleet(
            Instance("a", "milano", "a:1", "a:2"), Instance("c", "torino", "c:1", "c:2")
        )

        assert [i.name for i in choose_preferred(fleet, "torino", 64)] == ["c", "a"]

    def test_one_that_leaves_is_not_named(self) -> None:
        fleet = self.fleet(
            Instance("a", "milano", "a:1", "a:2"), Instance("b", "milano", "b:1", "b:2")
        )
        fleet.members.apply(MemberUpdate("b", 1, 1, MemberState.LEAVING), "told")

        assert [i.name for i in choose_preferred(fleet, "milano", 64)] == ["a"]

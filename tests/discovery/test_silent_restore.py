"""A store whose history goes back without a higher era that would tell so, on virtual time."""

import asyncio

import pytest

from radishmount.discovery import ConfigurationEntry, EndpointRemoval, StoreFailureKind
from radishmount.fleet import is_watcher
from store_harness import FakeStore, FollowerInstance, GossipHarness, endpoint_entry


pytestmark = pytest.mark.looptime

MAX_PROPAGATION_S = 3.0
READY = endpoint_entry("leaving", started_at_ms=4)
DRAINED = endpoint_entry("leaving", started_at_ms=4, is_draining=True)


async def start_fleet(count: int, era: int) -> GossipHarness:
    """Start a fleet whose store tells an era, zero for a store that tells none."""
    entries = [ConfigurationEntry(b"1 one"), endpoint_entry("kept", started_at_ms=1), READY]
    return await GossipHarness(entries=entries, era=era).start(count)


def usable_names(instance: FollowerInstance) -> set[str]:
    """Return the endpoints to which an instance sends requests."""
    return set(instance.endpoints.by_name) - instance.endpoints.draining_names


def instances_up_to_date(harness: GossipHarness) -> set[str]:
    """Return the instances that have version 2, and use only the endpoints that do not leave."""
    return {
        name
        for name, instance in harness.by_name.items()
        if instance.control_plane.active_publication.current.version == 2
        and usable_names(instance) == {"kept", "new"}
    }


async def change_and_wait(harness: GossipHarness) -> None:
    """Write a change of each kind, and wait as long as a change may take."""
    harness.write(ConfigurationEntry(b"2 two"), DRAINED, endpoint_entry("new"))
    await asyncio.sleep(MAX_PROPAGATION_S)


async def rewrite_often(harness: GossipHarness, count: int) -> None:
    """Change an endpoint `count` times within a second."""
    for number in range(count):
        await asyncio.sleep(1.0 / count)
        harness.write(endpoint_entry("kept", started_at_ms=1, cold_for_ms=float(number)))


class TestLowerEra:
    """From some moment on, the store tells a lower era than before."""

    @pytest.mark.parametrize("count", [1, 9, 69])
    async def test_changes_are_followed_from_the_moment_on(self, count: int) -> None:
        """Guards against answers that are refused for good, so that the old view stays in force."""
        harness = await start_fleet(count, era=5)
        harness.era = 1
        await change_and_wait(harness)

        assert instances_up_to_date(harness) == set(harness.by_name)
        await harness.stop()

    async def test_an_answer_that_was_late_is_not_followed(self) -> None:
        """Guards against an answer of the lost history, which was late or comes from a replica."""
        harness = await start_fleet(9, era=2)
        harness.era = 1
        harness.write(endpoint_entry("old"))
        await asyncio.sleep(0.5)
        harness.era = 2
        harness.write(endpoint_entry("new"))
        await asyncio.sleep(3.0)
        eras = {i.control_plane.follower.known_position.era for i in harness.by_name.values()}

        assert eras == {2}
        await harness.stop()

    async def test_one_instance_does_not_follow_a_replica_that_was_left_behind(self) -> None:
        """Guards against the view of one instance in place of that of all the others."""
        harness = await start_fleet(9, era=2)
        behind = harness.by_name["e0"]
        behind.store.era = 1
        behind.store.events = []
        behind.store.changed.set()
        for number in range(10):
            harness.write(endpoint_entry("new", cold_for_ms=float(number)))
            behind.store.era = 1
            behind.store.revision = 1
            await asyncio.sleep(1.0)
        eras = {i.control_plane.follower.known_position.era for i in harness.by_name.values()}

        assert eras == {2}
        assert harness.instances_listing("kept", "leaving", "new") == set(harness.by_name)
        await harness.stop()


class TestUntoldReturn:
    """The store comes back from an older copy, in the era in which it was."""

    @pytest.mark.parametrize("count", [1, 9, 69])
    @pytest.mark.parametrize("era", [0, 3])
    async def test_an_endpoint_that_leaves_afterwards_gets_no_request(
        self, count: int, era: int
    ) -> None:
        """Guards against changes that are dropped until the lost revisions are passed."""
        harness = await start_fleet(count, era)
        copy = harness.copy()
        await rewrite_often(harness, 20)
        await harness.restore(copy, tells_era=False)
        await asyncio.sleep(1.0)
        await change_and_wait(harness)

        assert instances_up_to_date(harness) == set(harness.by_name)
        await harness.stop()

    @pytest.mark.parametrize("more", [0, 10])
    @pytest.mark.parametrize("count", [1, 9, 69])
    async def test_a_change_under_a_revision_that_was_used_before_is_not_missed(
        self, count: int, more: int
    ) -> None:
        """Guards against a store without eras that has given the known revision out again.

        No watch is answered with 410 then: only a full read shows what was written.
        """
        harness = await start_fleet(count, era=0)
        copy = harness.copy()
        await rewrite_often(harness, 20)
        for instance in harness.by_name.values():
            instance.store.failure_kind = StoreFailureKind.UNAVAILABLE
            instance.store.changed.set()
        await asyncio.sleep(1.0)
        await harness.restore(copy, away_ms=0.0, tells_era=False)
        harness.write(ConfigurationEntry(b"2 two"), DRAINED, endpoint_entry("new"))
        for number in range(17 + more):
            harness.write(endpoint_entry("kept", started_at_ms=1, cold_for_ms=float(number)))
        for instance in harness.by_name.values():
            instance.store.failure_kind = None
        await asyncio.sleep(MAX_PROPAGATION_S)

        assert instances_up_to_date(harness) == set(harness.by_name)
        await harness.stop()

    async def test_two_returns_in_a_row_are_followed(self) -> None:
        """Guards against a second return that is taken for the first one."""
        harness = await start_fleet(9, era=0)
        copy = harness.copy()
        for _ in range(2):
            await rewrite_often(harness, 10)
            await harness.restore(copy, tells_era=False)
            await asyncio.sleep(2.0)
        await change_and_wait(harness)

        assert instances_up_to_date(harness) == set(harness.by_name)
        await harness.stop()


class TestOtherStore:
    """The settings name a store whose history has nothing to do with the one before."""

    @pytest.mark.parametrize(("era", "revision"), [(0, 3), (1, 900), (5, 3), (9, 3)])
    async def test_all_instances_follow_it(self, era: int, revision: int) -> None:
        """Guards against an address, an era and revisions that change together."""
        harness = await start_fleet(9, era=5)
        await rewrite_often(harness, 20)
        entries = [ConfigurationEntry(b"1 one"), endpoint_entry("kept", started_at_ms=1), READY]
        store = FakeStore(entries, revision=revision, era=era, address="store:2")
        for number, instance in enumerate(harness.by_name.values()):
            instance.control_plane.follower.follow(store)
            await asyncio.sleep(0.1 * (number % 3))
        await asyncio.sleep(1.0)
        store.write(ConfigurationEntry(b"2 two"), DRAINED, endpoint_entry("new"))
        await asyncio.sleep(MAX_PROPAGATION_S)

        assert instances_up_to_date(harness) == set(harness.by_name)
        await harness.stop()

    @pytest.mark.parametrize("era", [0, 1, 5, 9])
    async def test_a_fleet_on_two_stores_reads_neither_again_and_again(self, era: int) -> None:
        """Guards against instances that correct each other for as long as both stores answer."""
        harness = await start_fleet(9, era=5)
        await rewrite_often(harness, 20)
        store = FakeStore([ConfigurationEntry(b"1 one"), READY], revision=3, era=era)
        for name in ("e0", "e1", "e2", "e3"):
            harness.by_name[name].control_plane.follower.follow(store)
        await asyncio.sleep(5.0)
        before = sum(i.store.calls.count("range") for i in harness.by_name.values())
        before += store.calls.count("range")
        await asyncio.sleep(60.0)
        reads = sum(i.store.calls.count("range") for i in harness.by_name.values())
        reads += store.calls.count("range")
        for instance in harness.by_name.values():
            instance.store.failure_kind = StoreFailureKind.UNAVAILABLE
            instance.store.changed.set()
            instance.control_plane.follower.follow(store)
        await asyncio.sleep(1.0)
        store.write(
            ConfigurationEntry(b"2 two"),
            DRAINED,
            endpoint_entry("new"),
            endpoint_entry("kept", started_at_ms=1),
        )
        await asyncio.sleep(MAX_PROPAGATION_S)

        # Two lists that differ are read again by every watcher, at most every 10 s.
        watchers = sum(is_watcher(i.control_plane.fleet) for i in harness.by_name.values())
        assert reads - before <= 6 * watchers
        assert instances_up_to_date(harness) == set(harness.by_name)
        await harness.stop()


class TestRemovals:
    """What the lost part of a history removed."""

    async def test_an_endpoint_that_had_left_is_not_used_again(self) -> None:
        """Guards against the entry of the copy, which says that the endpoint is ready."""
        harness = await start_fleet(9, era=0)
        copy = harness.copy()
        await rewrite_often(harness, 10)
        harness.write(EndpointRemoval("leaving"))
        await asyncio.sleep(1.0)
        await harness.restore(copy, tells_era=False)
        used: set[str] = set()
        for _ in range(30):
            await asyncio.sleep(0.1)
            for instance in harness.by_name.values():
                used |= usable_names(instance)

        assert used == {"kept"}
        await harness.stop()

"""A store that gets another address while instances follow it, on virtual time."""

import asyncio

import pytest

from radishmount.discovery import ConfigurationEntry, StoreFailureKind
from store_harness import FakeStore, GossipHarness, endpoint_entry


pytestmark = pytest.mark.looptime


def moved_store(harness: GossipHarness) -> FakeStore:
    """Return a store at another address that holds what the store of a fleet holds now."""
    return FakeStore(
        list(harness.entries),
        list(harness.events),
        revision=harness.revision,
        era=harness.era,
        address="store:2",
    )


class TestFleet:
    """The settings of some or all instances name the new address."""

    @pytest.mark.parametrize("moved_count", [1, 3, 9])
    async def test_all_instances_follow_the_new_address(self, moved_count: int) -> None:
        """Guards against a fleet that keeps an old view while one instance has a new one."""
        entries = [ConfigurationEntry(b"1 one"), endpoint_entry("kept")]
        harness = await GossipHarness(entries=entries).start(9)
        store = moved_store(harness)
        for name in sorted(harness.by_name)[:moved_count]:
            harness.by_name[name].control_plane.follower.follow(store)
        await asyncio.sleep(1.0)
        for instance in harness.by_name.values():
            instance.store.failure_kind = StoreFailureKind.UNAVAILABLE
            instance.store.changed.set()
        await asyncio.sleep(4.0)
        store.write(ConfigurationEntry(b"2 two"), endpoint_entry("new"))
        await asyncio.sleep(3.0)

        versions = {
            i.control_plane.active_publication.current.version for i in harness.by_name.values()
        }
        assert versions == {2}
        assert harness.instances_listing("kept", "new") == set(harness.by_name)
        await harness.stop()

    async def test_a_watch_at_the_address_before_is_given_up(self) -> None:
        """Guards against a new address that is called only once the old watch has ended."""
        harness = await GossipHarness(entries=[ConfigurationEntry(b"1 one")]).start(1)
        instance = harness.by_name["e0"]
        store = moved_store(harness)
        store.write(ConfigurationEntry(b"2 two"))
        instance.control_plane.follower.follow(store)
        await asyncio.sleep(0.1)
        calls = len(instance.store.calls)
        await asyncio.sleep(10.0)

        assert instance.control_plane.active_publication.current.version == 2
        assert len(instance.store.calls) == calls
        await harness.stop()

    async def test_a_read_in_progress_at_the_address_before_is_not_used(self) -> None:
        """Guards against a list of the old store that replaces the one of the new store."""
        harness = await GossipHarness(entries=[endpoint_entry("old")]).start(1)
        instance = harness.by_name["e0"]
        instance.store.read_ms = 500.0
        follower = instance.control_plane.follower
        follower.read_again()
        await asyncio.sleep(0.1)
        follower.follow(FakeStore([endpoint_entry("new")], revision=9, address="store:2"))
        await asyncio.sleep(5.0)

        assert set(instance.endpoints.by_name) == {"new"}
        await harness.stop()

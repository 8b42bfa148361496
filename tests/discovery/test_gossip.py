"""Tests of the spread of the store's changes through a large fleet, on virtual time."""

import asyncio

import pytest

from radishmount.discovery import EndpointRemoval, StoreFailureKind
from radishmount.fleet import is_watcher
from store_harness import GossipHarness, entry


pytestmark = pytest.mark.looptime

COUNT = 24
WATCHERS = 6  # two in each of three data centres


class TestGossip:
    """A few instances watch the store, and all know what it says."""

    async def test_few_instances_call_a_calm_store(self) -> None:
        world = await GossipHarness(entries=[entry("a")], changes_due_ms=5_000.0).start(COUNT)
        before = world.calls()
        await asyncio.sleep(30.0)
        callers = world.callers_in(before)
        made = sum(world.calls().values()) - sum(before.values())

        assert world.holding("a") == set(world.by_name)
        assert callers == {n for n, f in world.by_name.items() if is_watcher(f.control.fleet)}
        assert len(callers) == WATCHERS
        assert made <= WATCHERS * 30 / 4 + WATCHERS
        await world.stop()

    async def test_calls_stay_few_where_changes_are_due_sooner(self) -> None:
        world = await GossipHarness(entries=[entry("a")], changes_due_ms=3_000.0).start(COUNT)
        before = world.calls()
        await asyncio.sleep(30.0)
        made = sum(world.calls().values()) - sum(before.values())

        assert made <= COUNT * 30 / 4 / 2  # half of what it were with a watch each
        await world.stop()

    async def test_a_change_is_everywhere_within_half_a_second(self) -> None:
        world = await GossipHarness(entries=[entry("a")]).start(COUNT)
        before = world.calls()
        world.tell(entry("b"), EndpointRemoval("a"))
        await asyncio.sleep(0.5)

        assert world.holding("b") == set(world.by_name)
        assert len(world.callers_in(before)) <= WATCHERS
        await world.stop()

    async def test_a_change_is_sent_once_or_so_over_each_stream(self) -> None:
        world = await GossipHarness(entries=[entry("a")]).start(COUNT)
        before = dict(world.network.sent_bytes_by_name)
        world.tell(entry("b"))
        await asyncio.sleep(0.4)
        streams = sum(len(f.control.peers.sessions_by_name) for f in world.by_name.values())
        sent = sum(world.network.sent_bytes_by_name.values()) - sum(before.values())

        assert world.holding("a", "b") == set(world.by_name)
        assert sent < streams * 250  # a frame of news has about 100 bytes, a heartbeat 70
        await world.stop()

    async def test_watchers_that_are_lost_are_replaced_within_seconds(self) -> None:
        world = await GossipHarness(entries=[entry("a")]).start(COUNT)
        for name in [n for n, f in world.by_name.items() if is_watcher(f.control.fleet)]:
            await world.kill(name)
        world.tell(entry("b"))
        await asyncio.sleep(3.0)

        assert world.holding("a", "b") == set(world.by_name)
        await world.stop()

    async def test_watchers_that_the_store_turns_away_are_made_up_for(self) -> None:
        world = await GossipHarness(entries=[entry("a")]).start(COUNT)
        for follower in world.by_name.values():
            if is_watcher(follower.control.fleet):
                follower.store.fault = StoreFailureKind.UNAVAILABLE
                follower.store.news.set()
        await asyncio.sleep(0.5)
        world.tell(entry("b"))
        await asyncio.sleep(3.0)

        assert world.holding("a", "b") == set(world.by_name)
        await world.stop()

    async def test_a_lost_notice_is_made_up_for_by_asking(self) -> None:
        world = await GossipHarness(entries=[entry("a")]).start(COUNT)
        deaf = next(f for f in world.by_name.values() if not is_watcher(f.control.fleet))
        taking = deaf.control.peers.notice_handlers_by_kind
        kinds = [kind for kind in taking if kind.__name__ == "StoreNews"]
        for kind in kinds:
            taking[kind] = lambda session, news: None
        world.tell(entry("b"))
        await asyncio.sleep(2.5)

        assert len(kinds) == 1
        assert world.holding("a", "b") == set(world.by_name)
        await world.stop()

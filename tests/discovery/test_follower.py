"""Tests of following the store, on virtual time."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

import pytest

from fakes import virtual_clock
from fleet_harness import read_small_bundle
from radishmount.audit import AuditTrail
from radishmount.counters import Counters
from radishmount.discovery import (
    ConfigurationEntry,
    EndpointList,
    EndpointRemoval,
    ListedEndpoint,
    StoreEntry,
    StoreFailureKind,
    StoreFollower,
    StoreNews,
)
from radishmount.publication import ActivePublication
from store_harness import FakeStore, entry


pytestmark = pytest.mark.looptime


@dataclass
class FollowHarness:
    """A follower and its store."""

    store: FakeStore
    follower: StoreFollower
    audit: AuditTrail
    changes: list[frozenset[str]]


@asynccontextmanager
async def following(*entries: StoreEntry, read_ms: float = 0.0) -> AsyncIterator[FollowHarness]:
    """Follow a store that begins with `entries`; a full reading of it takes `read_ms`."""
    clock, counters = virtual_clock(), Counters()
    audit = AuditTrail(clock)
    store = FakeStore(list(entries), read_ms=read_ms)
    endpoints = EndpointList()
    changes: list[frozenset[str]] = []

    async def note() -> None:
        changes.append(frozenset(endpoints.by_name))

    in_force = ActivePublication(read_small_bundle, audit, counters, clock)
    follower = StoreFollower(
        store, endpoints, in_force, clock, Random(1), audit, counters, on_change=note
    )
    tasks = [
        asyncio.create_task(follower.run()),
        asyncio.create_task(follower.run_change_notifications()),
    ]
    await asyncio.sleep(1.0)
    yield FollowHarness(store, follower, audit, changes)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class TestStoreFollower:
    """Configuration and endpoints follow the store, which may fail in many ways."""

    async def test_the_first_reading_is_taken(self) -> None:
        async with following(ConfigurationEntry(b"7 seven"), entry("a")) as world:
            assert world.follower.active_publication.current.version == 7
            assert world.changes[-1] == {"a"}

    async def test_changes_are_taken_within_half_a_second(self) -> None:
        async with following(ConfigurationEntry(b"7 seven"), entry("a")) as world:
            world.store.tell(entry("b"), EndpointRemoval("a"), ConfigurationEntry(b"9 nine"))
            await asyncio.sleep(0.5)

            assert world.changes[-1] == {"b"}
            assert world.follower.active_publication.current.version == 9

    async def test_an_older_version_does_not_come_back(self) -> None:
        async with following(ConfigurationEntry(b"7 seven")) as world:
            world.store.tell(ConfigurationEntry(b"3 three"))
            await asyncio.sleep(0.5)

            assert world.follower.active_publication.current.version == 7

    async def test_lost_history_is_read_anew_with_its_removals(self) -> None:
        async with following(entry("a"), entry("b")) as world:
            world.store.entries = [entry("b"), entry("c")]
            world.store.fault = StoreFailureKind.COMPACTED
            world.store.news.set()
            await asyncio.sleep(1.0)

            assert world.changes[-1] == {"b", "c"}

    async def test_an_outage_keeps_what_is_known_and_is_logged_once_each_way(self) -> None:
        async with following(ConfigurationEntry(b"7 seven"), entry("a")) as world:
            world.store.fault = StoreFailureKind.UNAVAILABLE
            world.store.news.set()
            await asyncio.sleep(20.0)
            kept = set(world.follower.endpoints.by_name)
            world.store.fault = None
            await asyncio.sleep(2.0)

            changes = [line.change for line in world.audit.lines if line.subject == "store"]
            assert kept == {"a"}
            assert changes == ["lost", "regained"]

    async def test_a_store_that_refuses_is_not_asked_without_pause(self) -> None:
        async with following(entry("a")) as world:
            world.store.fault = StoreFailureKind.UNAVAILABLE
            world.store.news.set()
            await asyncio.sleep(30.0)

            assert len(world.store.calls) < 60

    async def test_a_calm_store_is_asked_rarely(self) -> None:
        async with following(entry("a")) as world:
            await asyncio.sleep(60.0)

            assert len(world.store.calls) <= 60 / 4 + 2

    async def test_a_peer_brings_what_the_store_does_not(self) -> None:
        async with following(entry("a")) as world:
            newer = ListedEndpoint("b", "s", "10.0.0.1:1", "milano", 2)

            await world.follower.take_from_peer("entry-b", 9, [newer])

            assert world.changes[-1] == {"b"}
            assert world.follower.last_change_revision == 9

    async def test_older_news_of_a_peer_are_left(self) -> None:
        async with following(entry("a")) as world:
            await world.follower.take_from_peer("entry-b", 1, [])

            assert world.changes[-1] == {"a"}

    async def test_a_watch_that_brings_nothing_is_begun_anew_when_a_peer_is_ahead(self) -> None:
        async with following(entry("a")) as world:
            calls = len(world.store.calls)

            world.follower.doubt()
            await asyncio.sleep(0.5)

            assert len(world.store.calls) > calls
            assert world.follower.is_store_reachable

    async def test_a_first_reading_under_way_is_not_doubted(self) -> None:
        async with following(entry("a"), read_ms=2_000.0) as world:
            world.follower.doubt()
            await asyncio.sleep(3.0)

            assert world.store.calls.count("range") == 1
            assert not [line for line in world.audit.lines if line.subject == "store"]

    async def test_a_renewal_brings_what_a_hung_watch_did_not(self) -> None:
        async with following(entry("a")) as world:
            world.store.revision += 1
            world.store.events.append((world.store.revision, entry("b")))

            await asyncio.wait_for(world.follower.refresh(), 0.1)

            assert world.changes[-1] == {"a", "b"}
            assert not [line for line in world.audit.lines if line.subject == "store"]

    async def test_a_renewal_in_an_outage_ends_with_the_outage(self) -> None:
        async with following(entry("a")) as world:
            world.store.fault = StoreFailureKind.UNAVAILABLE
            renewal = asyncio.create_task(world.follower.refresh())
            await asyncio.sleep(3.0)
            was_done = renewal.done()
            world.store.fault = None
            await asyncio.sleep(2.0)

            assert (was_done, renewal.done()) == (False, True)

    async def test_one_without_duty_does_not_call_while_peers_confirm_its_view(self) -> None:
        async with following(entry("a")) as world:
            world.follower.is_watcher = lambda: False
            await asyncio.sleep(5.0)
            calls = len(world.store.calls)
            for _ in range(10):
                world.follower.confirm(world.follower.last_change_revision, age_ms=500.0)
                await asyncio.sleep(1.0)

            assert len(world.store.calls) == calls

    async def test_one_without_duty_calls_when_nobody_confirms_its_view(self) -> None:
        async with following(entry("a")) as world:
            world.follower.is_watcher = lambda: False
            await asyncio.sleep(5.0)
            world.store.tell(entry("b"))
            await asyncio.sleep(3.0)

            assert world.changes[-1] == {"a", "b"}

    async def test_a_peer_that_is_behind_confirms_nothing(self) -> None:
        async with following(entry("a")) as world:
            world.store.tell(entry("b"))
            await asyncio.sleep(2.0)
            age_ms = world.follower.age_ms()

            world.follower.confirm(world.store.revision + 1, age_ms=0.0)

            assert world.follower.age_ms() == age_ms > 0.0

    async def test_a_store_whose_revision_grows_without_changes_is_no_news(self) -> None:
        async with following(entry("a")) as world:
            held = world.follower.last_change_revision
            world.store.idle_writes += 40
            await asyncio.sleep(9.0)

            assert world.follower.last_change_revision == held
            assert not world.follower.is_behind(held)

    async def test_news_are_taken_where_they_go_on_from_what_is_known(self) -> None:
        async with following(entry("a")) as world:
            known = world.follower.known_revision
            listed = (ListedEndpoint("b", "s", "10.0.0.1:1", "milano", 2),)
            gap = world.follower.take_news("p", StoreNews(known + 1, known + 2, listed))
            taken = world.follower.take_news("p", StoreNews(known, known + 1, listed, ("a",)))
            again = world.follower.take_news("p", StoreNews(known, known + 1, (), ("b",)))
            await asyncio.sleep(0.1)

            assert (gap, taken, again) == (False, True, False)
            assert world.changes[-1] == {"b"}

    async def test_news_that_come_together_are_told_of_once(self) -> None:
        async with following(entry("a")) as world:
            before, known = len(world.changes), world.follower.known_revision
            for n in range(20):
                listed = (ListedEndpoint(f"b{n}", "s", "10.0.0.1:1", "milano", 2),)
                world.follower.take_news("p", StoreNews(known + n, known + n + 1, listed))
            await asyncio.sleep(0.2)

            assert len(world.changes) - before == 1
            assert len(world.changes[-1]) == 21

    async def test_a_watch_whose_answer_is_lost_ends_within_five_seconds(self) -> None:
        async with following(entry("a")) as world:
            calls = len(world.store.calls)
            await asyncio.sleep(5.0)

            assert len(world.store.calls) > calls

    async def test_removals_count_at_once_when_only_this_instance_was_turned_away(self) -> None:
        async with following(entry("a"), entry("b")) as world:
            world.store.fault = StoreFailureKind.UNAVAILABLE
            world.store.news.set()
            await asyncio.sleep(5.0)
            listed = ListedEndpoint("a", "s", "10.0.0.1:1", "milano", 2)
            await world.follower.take_from_peer("entry-b", 5, [listed])
            world.store.revision = 5
            world.store.tell(EndpointRemoval("a"))
            world.store.fault = None
            await asyncio.sleep(2.0)

            assert world.changes[-1] == frozenset()

    async def test_what_a_peer_keeps_in_grace_is_dropped_here_too_in_time(self) -> None:
        async with following(entry("a"), entry("b")) as world:
            listed = ListedEndpoint("b", "s", "10.0.0.1:1", "milano", 2)

            await world.follower.take_from_peer("entry-b", 9, [listed], ["a"])
            at_once = set(world.follower.endpoints.by_name)
            await asyncio.sleep(3.0)

            assert at_once == {"a", "b"}
            assert set(world.follower.endpoints.by_name) == {"b"}

    async def test_what_is_kept_in_grace_is_not_told_as_listed(self) -> None:
        async with following(entry("a"), entry("b")) as world:
            endpoints = world.follower.endpoints
            endpoints.begin_grace(world.follower.clock.now_ms())
            endpoints.remove("a", world.follower.clock.now_ms())

            assert [listed.name for listed in endpoints.listed_now()] == ["b"]
            assert set(endpoints.by_name) == {"a", "b"}

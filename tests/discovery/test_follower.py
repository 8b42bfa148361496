"""Tests of the store follower, on virtual time."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

import pytest
from result import Ok, Result

from fakes import virtual_clock
from fleet_harness import read_small_bundle
from radishmount.audit import AuditTrail
from radishmount.counters import Counters
from radishmount.discovery import (
    ConfigurationEntry,
    EndpointList,
    EndpointRemoval,
    EvacuationEntry,
    ListedEndpoint,
    StoreAnswer,
    StoreEntry,
    StoreFailure,
    StoreFailureKind,
    StoreFollower,
    StoreNews,
    StorePosition,
)
from radishmount.publication import ActivePublication
from store_harness import FakeStore, endpoint_entry


pytestmark = pytest.mark.looptime


@dataclass
class FollowerHarness:
    """A follower and its store. `changes` has the listed endpoints at each `on_change`.

    `reported_revisions` has the revision that peers are told of at the same time, and `news` what
    is sent to them.
    """

    store: FakeStore
    follower: StoreFollower
    audit: AuditTrail
    changes: list[frozenset[str]]
    reported_revisions: list[int]
    news: list[StoreNews]


@asynccontextmanager
async def follow_store(
    *entries: StoreEntry, read_ms: float = 0.0, make_store: type[FakeStore] = FakeStore
) -> AsyncIterator[FollowerHarness]:
    """Follow a store that holds `entries`; a full read of it takes `read_ms`."""
    clock, counters = virtual_clock(), Counters()
    audit = AuditTrail(clock)
    store = make_store(list(entries), read_ms=read_ms)
    endpoints = EndpointList()
    changes: list[frozenset[str]] = []
    reported_revisions: list[int] = []
    news: list[StoreNews] = []

    async def record_change() -> None:
        changes.append(frozenset(endpoints.by_name))
        reported_revisions.append(follower.last_change_position.revision)

    active_publication = ActivePublication(read_small_bundle, audit, counters, clock)
    follower = StoreFollower(
        store,
        endpoints,
        active_publication,
        clock,
        Random(1),
        audit,
        counters,
        on_change=record_change,
        on_news=news.append,
    )
    tasks = [
        asyncio.create_task(follower.run()),
        asyncio.create_task(follower.run_change_notifications()),
    ]
    await asyncio.sleep(1.0)
    yield FollowerHarness(store, follower, audit, changes, reported_revisions, news)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def make_news(
    after: int,
    revision: int,
    endpoints: tuple[ListedEndpoint, ...] = (),
    removed: tuple[str, ...] = (),
) -> StoreNews:
    """Return changes within the first era of a fake store."""
    return StoreNews(after, revision, endpoints, removed, era=1)


class PagedStore(FakeStore):
    """A store in which, between the two pages of a full read, `a` is removed and `b` written."""

    async def read_all(self) -> Result[StoreAnswer, StoreFailure]:
        """Return the first page as it was, and the second one as it is after the changes."""
        first_page = (await super().read_all()).unwrap()
        self.write(EndpointRemoval("a"), endpoint_entry("b"))
        entries = (*first_page.entries, endpoint_entry("b"))
        return Ok(StoreAnswer(entries, first_page.position, self.revision))


class TestStoreFollower:
    """Configuration and endpoints follow the store, which may fail in many ways."""

    async def test_the_first_read_is_applied(self) -> None:
        async with follow_store(ConfigurationEntry(b"7 seven"), endpoint_entry("a")) as harness:
            assert harness.follower.active_publication.current.version == 7
            assert harness.changes[-1] == {"a"}

    async def test_changes_are_applied_within_half_a_second(self) -> None:
        async with follow_store(ConfigurationEntry(b"7 seven"), endpoint_entry("a")) as harness:
            harness.store.write(
                endpoint_entry("b"), EndpointRemoval("a"), ConfigurationEntry(b"9 nine")
            )
            await asyncio.sleep(0.5)

            assert harness.changes[-1] == {"b"}
            assert harness.follower.active_publication.current.version == 9

    async def test_an_older_version_is_not_applied(self) -> None:
        async with follow_store(ConfigurationEntry(b"7 seven")) as harness:
            harness.store.write(ConfigurationEntry(b"3 three"))
            await asyncio.sleep(0.5)

            assert harness.follower.active_publication.current.version == 7

    async def test_a_compacted_history_causes_a_full_read_with_removals(self) -> None:
        async with follow_store(endpoint_entry("a"), endpoint_entry("b")) as harness:
            harness.store.entries = [endpoint_entry("b"), endpoint_entry("c")]
            harness.store.failure_kind = StoreFailureKind.COMPACTED
            harness.store.changed.set()
            await asyncio.sleep(1.0)

            assert harness.changes[-1] == {"b", "c"}

    async def test_an_outage_keeps_what_is_known_and_is_logged_once_each_way(self) -> None:
        async with follow_store(ConfigurationEntry(b"7 seven"), endpoint_entry("a")) as harness:
            harness.store.failure_kind = StoreFailureKind.UNAVAILABLE
            harness.store.changed.set()
            await asyncio.sleep(20.0)
            kept = set(harness.follower.endpoints.by_name)
            harness.store.failure_kind = None
            await asyncio.sleep(2.0)

            changes = [line.change for line in harness.audit.lines if line.subject == "store"]
            assert kept == {"a"}
            assert changes == ["lost", "regained"]

    async def test_a_failing_store_is_called_with_backoff(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            harness.store.failure_kind = StoreFailureKind.UNAVAILABLE
            harness.store.changed.set()
            await asyncio.sleep(30.0)

            assert len(harness.store.calls) < 60

    async def test_a_store_without_changes_is_called_rarely(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            await asyncio.sleep(60.0)

            assert len(harness.store.calls) <= 60 / 4 + 2

    async def test_newer_endpoints_of_a_peer_are_applied(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            newer = ListedEndpoint("b", "s", "10.0.0.1:1", "milano", 2)

            await harness.follower.apply_peer_state("entry-b", StorePosition(1, 9), [newer])

            assert harness.changes[-1] == {"b"}
            assert harness.follower.last_change_position == StorePosition(1, 9)

    async def test_older_endpoints_of_a_peer_are_ignored(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            await harness.follower.apply_peer_state("entry-b", StorePosition(1, 1), [])

            assert harness.changes[-1] == {"a"}

    async def test_a_read_in_pages_is_not_reported_as_newer_than_its_first_page(self) -> None:
        """Guards against an endpoint that left between two pages of a read, and stays in use.

        A peer that takes the list under the revision of its newest entry skips the removal.
        """
        async with follow_store(endpoint_entry("a"), make_store=PagedStore) as harness:
            reported = zip(harness.reported_revisions, harness.changes, strict=True)

            assert not [r for r, names in reported if r > 1 and "a" in names]
            assert [news.removed for news in harness.news] == [("a",)]

    async def test_a_watch_without_changes_is_restarted_when_a_peer_is_ahead(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            calls = len(harness.store.calls)

            harness.follower.restart_watch()
            await asyncio.sleep(0.5)

            assert len(harness.store.calls) > calls
            assert harness.follower.is_store_reachable

    async def test_a_first_read_in_progress_is_not_restarted(self) -> None:
        async with follow_store(endpoint_entry("a"), read_ms=2_000.0) as harness:
            harness.follower.restart_watch()
            await asyncio.sleep(3.0)

            assert harness.store.calls.count("range") == 1
            assert not [line for line in harness.audit.lines if line.subject == "store"]

    async def test_a_refresh_applies_what_a_hung_watch_did_not_return(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            harness.store.revision += 1
            harness.store.events.append((harness.store.revision, endpoint_entry("b")))

            await asyncio.wait_for(harness.follower.refresh(), 0.1)

            assert harness.changes[-1] == {"a", "b"}
            assert not [line for line in harness.audit.lines if line.subject == "store"]

    async def test_a_refresh_during_an_outage_ends_with_the_outage(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            harness.store.failure_kind = StoreFailureKind.UNAVAILABLE
            refresh = asyncio.create_task(harness.follower.refresh())
            await asyncio.sleep(3.0)
            was_done = refresh.done()
            harness.store.failure_kind = None
            await asyncio.sleep(2.0)

            assert (was_done, refresh.done()) == (False, True)

    async def test_a_non_watcher_does_not_call_while_peers_confirm_its_view(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            harness.follower.is_watcher = lambda: False
            await asyncio.sleep(5.0)
            calls = len(harness.store.calls)
            for _ in range(10):
                harness.follower.confirm(harness.follower.last_change_position, age_ms=500.0)
                await asyncio.sleep(1.0)

            assert len(harness.store.calls) == calls

    async def test_a_non_watcher_calls_when_no_peer_confirms_its_view(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            harness.follower.is_watcher = lambda: False
            await asyncio.sleep(5.0)
            harness.store.write(endpoint_entry("b"))
            await asyncio.sleep(3.0)

            assert harness.changes[-1] == {"a", "b"}

    async def test_a_peer_that_is_ahead_does_not_confirm_the_view(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            harness.store.write(endpoint_entry("b"))
            await asyncio.sleep(2.0)
            age_ms = harness.follower.age_ms()

            harness.follower.confirm(StorePosition(1, harness.store.revision + 1), age_ms=0.0)

            assert harness.follower.age_ms() == age_ms > 0.0

    async def test_a_revision_that_grows_without_changes_is_not_announced(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            last_change = harness.follower.last_change_position
            harness.store.unrelated_writes += 40
            await asyncio.sleep(9.0)

            assert harness.follower.last_change_position == last_change
            assert not harness.follower.is_behind(last_change)

    async def test_news_are_applied_only_if_they_follow_the_known_revision(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            known = harness.follower.known_position.revision
            listed = (ListedEndpoint("b", "s", "10.0.0.1:1", "milano", 2),)
            gap = harness.follower.apply_news("p", make_news(known + 1, known + 2, listed))
            applied = harness.follower.apply_news("p", make_news(known, known + 1, listed, ("a",)))
            repeated = harness.follower.apply_news("p", make_news(known, known + 1, (), ("b",)))
            await asyncio.sleep(0.1)

            assert (gap, applied, repeated) == (False, True, False)
            assert harness.changes[-1] == {"b"}

    async def test_news_of_peers_do_not_stand_for_a_configuration_that_they_lack(self) -> None:
        """Guards against an old version in use although the store is called for the new one.

        A change of the configuration raises the revision of the peers that tell of it. The
        configuration itself comes another way, which may fail.
        """
        async with follow_store(ConfigurationEntry(b"7 seven"), endpoint_entry("a")) as harness:
            harness.follower.is_watcher = lambda: False
            await asyncio.sleep(5.0)
            known = harness.follower.known_position.revision
            harness.store.write(ConfigurationEntry(b"9 nine"))
            harness.follower.apply_news("p", make_news(known, harness.store.revision))
            await asyncio.sleep(3.0)

            assert harness.follower.active_publication.current.version == 9

    async def test_news_that_arrive_together_cause_one_notification(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            before, known = len(harness.changes), harness.follower.known_position.revision
            for n in range(20):
                listed = (ListedEndpoint(f"b{n}", "s", "10.0.0.1:1", "milano", 2),)
                harness.follower.apply_news("p", make_news(known + n, known + n + 1, listed))
            await asyncio.sleep(0.2)

            assert len(harness.changes) - before == 1
            assert len(harness.changes[-1]) == 21

    async def test_a_watch_whose_answer_is_lost_ends_within_five_seconds(self) -> None:
        async with follow_store(endpoint_entry("a")) as harness:
            calls = len(harness.store.calls)
            await asyncio.sleep(5.0)

            assert len(harness.store.calls) > calls

    async def test_removals_apply_at_once_when_only_this_instance_was_refused(self) -> None:
        async with follow_store(endpoint_entry("a"), endpoint_entry("b")) as harness:
            harness.store.failure_kind = StoreFailureKind.UNAVAILABLE
            harness.store.changed.set()
            await asyncio.sleep(5.0)
            listed = ListedEndpoint("a", "s", "10.0.0.1:1", "milano", 2)
            await harness.follower.apply_peer_state("entry-b", StorePosition(1, 5), [listed])
            harness.store.revision = 5
            harness.store.write(EndpointRemoval("a"))
            harness.store.failure_kind = None
            await asyncio.sleep(2.0)

            assert harness.changes[-1] == frozenset()

    async def test_an_endpoint_that_a_peer_keeps_for_its_grace_period_expires_here_too(
        self,
    ) -> None:
        async with follow_store(endpoint_entry("a"), endpoint_entry("b")) as harness:
            listed = ListedEndpoint("b", "s", "10.0.0.1:1", "milano", 2)

            await harness.follower.apply_peer_state("entry-b", StorePosition(1, 9), [listed], ["a"])
            at_once = set(harness.follower.endpoints.by_name)
            await asyncio.sleep(3.0)

            assert at_once == {"a", "b"}
            assert set(harness.follower.endpoints.by_name) == {"b"}

    async def test_endpoints_in_their_grace_period_are_not_returned_as_present(self) -> None:
        async with follow_store(endpoint_entry("a"), endpoint_entry("b")) as harness:
            endpoints = harness.follower.endpoints
            endpoints.begin_grace(harness.follower.clock.now_ms())
            endpoints.remove("a", harness.follower.clock.now_ms())

            assert [listed.name for listed in endpoints.present_endpoints()] == ["b"]
            assert set(endpoints.by_name) == {"a", "b"}


class TestEvacuations:
    """What the operator says of data centres does not lapse as endpoints' entries do."""

    async def test_an_end_after_an_outage_takes_effect_at_once(self) -> None:
        """Guards against the grace of endpoints' entries, which lapse in an outage, for it."""
        async with follow_store(endpoint_entry("a"), EvacuationEntry("milano", True)) as harness:
            await asyncio.sleep(1.0)
            harness.store.failure_kind = StoreFailureKind.UNAVAILABLE
            await asyncio.sleep(10.0)
            harness.store.write(EvacuationEntry("milano", False))
            harness.store.failure_kind = None
            await asyncio.sleep(2.0)

            assert harness.follower.endpoints.evacuated_data_centres == frozenset()

    async def test_a_peer_that_knows_only_the_beginning_is_told_of_the_end(self) -> None:
        """Guards against a watch that returns both, which change nothing together."""
        async with follow_store(endpoint_entry("a")) as harness:
            await asyncio.sleep(1.0)
            harness.store.write(EvacuationEntry("milano", True), EvacuationEntry("milano", False))
            await asyncio.sleep(1.0)

            assert [news.evacuated for news in harness.news] == [()]


class TestSingleFailure:
    """One call of the store fails, and the next one is answered."""

    async def test_a_removal_is_known_in_time_where_no_outage_has_been(self) -> None:
        """Guards against requests to an endpoint that is gone, as for a grace period after one.

        An instance that is no watcher, and that nobody has confirmed for a while, takes a single
        failed call for the end of an outage that began with its last confirmation.
        """
        async with follow_store(endpoint_entry("a"), endpoint_entry("b")) as harness:
            follower = harness.follower
            follower.is_watcher = lambda: False
            await asyncio.sleep(5.0)
            follower.confirmed_at_ms = follower.clock.now_ms()
            harness.store.write(EndpointRemoval("a"))
            harness.store.failure_kind = StoreFailureKind.UNAVAILABLE
            calls = len(harness.store.calls)
            while len(harness.store.calls) == calls:
                await asyncio.sleep(0.01)
            harness.store.failure_kind = None
            await asyncio.sleep(0.35)  # the longest wait before the next call, and the call

            assert set(follower.endpoints.by_name) == {"b"}

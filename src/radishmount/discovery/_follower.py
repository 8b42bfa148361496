"""The task that follows the store: a full reading, then watches by those whose duty it is."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from result import Err, Result

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.discovery._endpoint_list import EndpointList
from radishmount.discovery._listed_endpoint import ListedEndpoint
from radishmount.discovery._messages import StoreNews
from radishmount.discovery._store import (
    ConfigurationEntry,
    EndpointEntry,
    Store,
    StoreAnswer,
    StoreFailure,
    StoreFailureKind,
)
from radishmount.fleet import Backoff
from radishmount.publication import ActivePublication


__all__ = ["StoreFollower"]

WATCH_WAIT_MS = 4_000  # a watch whose answer was lost is found out within what a change may take
DUTY_CHECK_MS = 250.0  # a lost watcher is suspected after seconds, so this adds little
LEAST_WAIT_SHARE = 0.1  # of a wait after a change, which wakes all watchers at the same moment
CHANGES_DUE_MS = 3_000.0  # when a change is to be known everywhere, where no settings say so
UNCONFIRMED_SHARE = 0.8  # of that time; the rest is for the call that is made then
SHORTEST_LAPSE_MS = 2_000.0  # entries lapse after three heartbeats, which take longer than this
SETTLE_MS = 250.0  # changes come in groups, and one watch for each group is enough
GROUP_MS = 50.0  # news of one change come over several ways, and renewing all links takes some ms
RETRY_FIRST_MS = 250.0  # about the time in which a store that restarted answers again
RETRY_LIMIT_MS = 1_500.0  # half of the time in which a new version is due everywhere

OnChange = Callable[[], Awaitable[None]]
OnNews = Callable[[StoreNews], None]


@dataclass(slots=True)
class StoreFollower:
    """Keeps configuration and endpoints in step with the store for as long as the instance runs.

    Every instance reads the store once. Those on duty then watch it and tell the others what
    changed, through `on_news`. The others call it only when nobody has confirmed for a while that
    what they hold is the newest. `on_change` is told after each group of changes here.

    `known_revision` is the revision of the store up to which everything is here;
    `last_change_revision` that of the newest change, which peers are told.
    """

    store: Store
    endpoints: EndpointList
    active_publication: ActivePublication
    clock: Clock
    random: Random
    audit: AuditTrail
    counters: Counters
    on_change: OnChange
    on_news: OnNews = lambda news: None
    is_watcher: Callable[[], bool] = lambda: True
    changes_due_ms: float = CHANGES_DUE_MS
    must_read: bool = True
    known_revision: int = 0
    last_change_revision: int = 0
    is_store_reachable: bool = True
    peers_had_news: bool = False
    confirmed_at_ms: float = 0.0
    lost_at_ms: float = 0.0
    calling: asyncio.Task[Result[StoreAnswer, StoreFailure]] | None = None
    is_doubted: bool = False
    wait_share: float = 1.0
    refreshed: asyncio.Event = field(default_factory=asyncio.Event)
    stirred: asyncio.Event = field(default_factory=asyncio.Event)
    news_came: asyncio.Event = field(default_factory=asyncio.Event)
    news_sender: str = ""
    backoff: Backoff = field(init=False)

    def __post_init__(self) -> None:
        """Prepare the pauses between calls that fail; no renewal is asked for yet."""
        self.refreshed.set()
        self.backoff = Backoff(self.random, RETRY_FIRST_MS, RETRY_LIMIT_MS)

    async def run(self) -> None:
        """Follow the store until the task is cancelled."""
        while True:
            if not self._must_call():
                self.stirred.clear()
                await _wait_for(self.stirred, DUTY_CHECK_MS)
                continue
            answer = await self._call()
            if answer is None:
                continue
            if isinstance(answer, Err):
                await self._failed(answer.err_value)
                continue
            was_reading = self.must_read
            self._reached()
            await self._take(answer.ok_value, is_full=was_reading)
            self.refreshed.set()
            await self.clock.sleep_ms(SETTLE_MS)

    async def run_change_notifications(self) -> None:
        """Tell of what peers' news changed, in groups; drop entries that stay missing."""
        while True:
            await _wait_for(self.news_came, SETTLE_MS)
            had_news = self.news_came.is_set()
            if had_news:
                await self.clock.sleep_ms(GROUP_MS)
                self.news_came.clear()
                cause, version = f"news from {self.news_sender}", self.known_revision
                self.audit.record("endpoints", "taken", cause=cause, version=version)
            if self.endpoints.expire(self.clock.now_ms()) or had_news:
                await self.on_change()

    def is_behind(self, revision: int) -> bool:
        """Tell whether a peer that holds a change of `revision` knows more than this instance."""
        return revision > self.known_revision

    def confirm(self, revision: int, age_ms: float) -> None:
        """Take a peer's word that what it holds was the newest `age_ms` ago."""
        if not self.must_read and not self.is_behind(revision):
            self.confirmed_at_ms = max(self.confirmed_at_ms, self.clock.now_ms() - age_ms)

    def take_news(self, peer: str, news: StoreNews) -> bool:
        """Take what changed, as a peer tells it; tell whether it was new and went on from here."""
        if not self.is_behind(news.revision) or news.after > self.known_revision:
            return False
        now_ms = self.clock.now_ms()
        self._advance(news.revision)
        for listed in news.endpoints:
            self.endpoints.put(listed.name, listed, now_ms)
        for name in news.removed:
            self.endpoints.remove(name, now_ms)
        for name in news.missing:
            self.endpoints.keep_missing(name, now_ms)
        self.counters.add("store_news", "taken")
        self.news_sender = peer
        self.news_came.set()
        return True

    async def take_from_peer(
        self,
        peer: str,
        revision: int,
        listed: Iterable[ListedEndpoint],
        missing: Iterable[str] = (),
    ) -> None:
        """Take all endpoints that a peer holds, where they are newer than those here."""
        if not self.is_behind(revision):
            return
        self._advance(revision)
        self.endpoints.take_all(listed, missing, self.clock.now_ms())
        self.audit.record("endpoints", "taken", cause=f"peer {peer}", version=revision)
        await self.on_change()

    def doubt(self) -> None:
        """Begin the present watch anew, as a peer has had news for a while that it has not brought.

        An answer may be lost without a sign, and its connection then brings nothing any more.
        """
        if self.calling is not None and not self.must_read and self.is_store_reachable:
            self.is_doubted = True
            self.calling.cancel()

    async def refresh(self) -> None:
        """Begin the present call anew, as after a pause, and wait until its answer was taken."""
        self.refreshed.clear()
        self.stirred.set()
        if self.calling is not None:
            self.calling.cancel()
        await self.refreshed.wait()

    def age_ms(self) -> float:
        """Return how long ago the endpoints here were last known to be the newest."""
        return self.clock.now_ms() - self.confirmed_at_ms

    def _must_call(self) -> bool:
        """Tell whether the store is to be called now, by duty or for want of other news."""
        if self.must_read or not self.refreshed.is_set() or self.is_watcher():
            return True
        return self.age_ms() > UNCONFIRMED_SHARE * self.changes_due_ms

    async def _call(self) -> Result[StoreAnswer, StoreFailure] | None:
        """Return the answer of the next call, none where it is to be begun anew."""
        self.calling = asyncio.create_task(self._ask_store(), name="ask store")
        try:
            return await self.calling
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            if not self.is_doubted:
                return None
            refusal = Refusal(Code.PLATFORM_DOWN, detail="peers have later news")
            return Err(StoreFailure(StoreFailureKind.UNAVAILABLE, refusal))
        finally:
            self.calling = None
            self.is_doubted = False

    async def _ask_store(self) -> Result[StoreAnswer, StoreFailure]:
        if self.must_read:
            self.counters.add("store_calls", "range")
            return await self.store.read_all()
        self.counters.add("store_calls", "watch")
        # Whether the store is back, or what was missed, is to be known at once.
        wait_ms = 0
        if self.is_store_reachable and self.refreshed.is_set() and self.is_watcher():
            wait_ms = int(WATCH_WAIT_MS * self.wait_share)
        return await self.store.watch(self.known_revision, wait_ms)

    async def _failed(self, failure: StoreFailure) -> None:
        self.counters.add("store_failures", failure.refusal.code.name)
        if failure.kind is StoreFailureKind.COMPACTED:
            self.audit.record("store", "history lost", cause=str(failure.refusal))
            self.must_read = True
            return
        if self.is_store_reachable:
            self.is_store_reachable = False
            self.peers_had_news = False
            # A watch shows an outage at once; without one it may have begun with the last word.
            self.lost_at_ms = self.clock.now_ms() if self.is_watcher() else self.confirmed_at_ms
            self.audit.record("store", "lost", cause=str(failure.refusal))
        await self.clock.sleep_ms(self.backoff.next_ms())

    def _reached(self) -> None:
        self.backoff.reset()
        now_ms = self.clock.now_ms()
        self.confirmed_at_ms = now_ms
        if self.is_store_reachable:
            return
        self.is_store_reachable = True
        # Where peers had later news, the store was away for this instance only.
        if now_ms - self.lost_at_ms >= SHORTEST_LAPSE_MS and not self.peers_had_news:
            self.endpoints.begin_grace(now_ms)
        self.audit.record("store", "regained", cause="it answers again")

    def _advance(self, revision: int) -> None:
        """Note that a peer brought everything up to `revision`."""
        self.known_revision = revision
        self.last_change_revision = max(self.last_change_revision, revision)
        self.peers_had_news = True

    async def _take(self, answer: StoreAnswer, *, is_full: bool) -> None:
        now_ms = self.clock.now_ms()
        self.must_read = False
        # Watchers that ended together are spread, so that one of them is heard of all the time.
        self.wait_share = self.random.uniform(LEAST_WAIT_SHARE, 1.0) if answer.entries else 1.0
        for entry in answer.entries:
            if isinstance(entry, ConfigurationEntry):
                await self.active_publication.apply(entry.body, source="store")
        if answer.revision < self.known_revision:
            return  # a peer has brought later ones
        if is_full:
            listed = {e.name: e.endpoint for e in answer.entries if isinstance(e, EndpointEntry)}
            self.endpoints.replace_all(listed, now_ms)
        else:
            self._put_all(answer, now_ms)
        after, self.known_revision = self.known_revision, answer.revision
        is_news = answer.last_change > self.last_change_revision  # else a peer was quicker
        self.last_change_revision = max(self.last_change_revision, answer.last_change)
        if not answer.entries:
            return
        if is_news and not is_full:
            self.on_news(self._news_of(answer, after))
        await self.on_change()

    def _put_all(self, answer: StoreAnswer, now_ms: float) -> None:
        for entry in answer.entries:
            if isinstance(entry, ConfigurationEntry):
                continue
            if isinstance(entry, EndpointEntry):
                self.endpoints.put(entry.name, entry.endpoint, now_ms)
            else:
                self.endpoints.remove(entry.name, now_ms)

    def _news_of(self, answer: StoreAnswer, after: int) -> StoreNews:
        """Return what an answer changed, as it stands here now."""
        names = {e.name for e in answer.entries if not isinstance(e, ConfigurationEntry)}
        missing = names & set(self.endpoints.missing_until_ms_by_name)
        listed = names & set(self.endpoints.by_name) - missing
        return StoreNews(
            after=after,
            revision=answer.last_change,
            endpoints=tuple(self.endpoints.by_name[name] for name in sorted(listed)),
            removed=tuple(sorted(names - listed - missing)),
            missing=tuple(sorted(missing)),
        )


async def _wait_for(event: asyncio.Event, limit_ms: float) -> None:
    """Wait for an event, `limit_ms` at most."""
    try:
        async with asyncio.timeout(limit_ms / 1000.0):
            await event.wait()
    except TimeoutError:
        pass  # the caller looks at the event

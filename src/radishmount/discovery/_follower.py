"""Follows the store: a full read, then watches by the watchers."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.discovery._answers import apply_changes, apply_evacuations, apply_full_read
from radishmount.discovery._endpoint_list import EndpointList
from radishmount.discovery._history_check import HistoryCheck, KnownView
from radishmount.discovery._listed_endpoint import ListedEndpoint
from radishmount.discovery._messages import StoreNews
from radishmount.discovery._news import make_news
from radishmount.discovery._position import NO_POSITION, StorePosition
from radishmount.discovery._refused_entries import RefusedEntries
from radishmount.discovery._store import (
    ConfigurationEntry,
    Store,
    StoreAnswer,
    StoreFailure,
    StoreFailureKind,
)
from radishmount.fleet import Backoff
from radishmount.publication import ActivePublication


__all__ = ["StoreFollower"]

WATCH_WAIT_MS = 4_000  # bounds the delay when the response to a watch is lost
WATCHER_CHECK_INTERVAL_MS = 250.0  # adds little to the seconds until a lost watcher is suspected
MIN_WAIT_RATIO = 0.1  # of WATCH_WAIT_MS, after a change that ended all watches at once
DEFAULT_MAX_PROPAGATION_MS = 3_000.0  # within this a change must be known everywhere
UNCONFIRMED_RATIO = 0.8  # of max_propagation_ms; the rest is for the call that is then made
MIN_LAPSE_MS = 2_000.0  # entries lapse after three missed heartbeats, which takes longer
SETTLE_MS = 250.0  # changes come in groups, for which one call is enough
BATCH_DELAY_MS = 50.0  # one change arrives from several peers, and updating pools takes a few ms
READ_AGAIN_INTERVAL_MS = 10_000.0  # bounds full reads if instances cannot agree
WAIT_FOR_PEERS_MS = 1_000.0  # a new era passes through a fleet in about half of this
RETRY_INITIAL_MS = 250.0  # about the time that a store takes to restart
RETRY_MAX_MS = 1_500.0  # half of DEFAULT_MAX_PROPAGATION_MS

OnChange = Callable[[], Awaitable[None]]
OnNews = Callable[[StoreNews], None]
OnEra = Callable[[int], None]
FindNewestRead = Callable[[], Awaitable[float]]


async def _find_no_read() -> float:
    """Return that no peer has read anything newer, as there are no peers."""
    return float("-inf")


@dataclass(slots=True)
class StoreFollower:
    """Keeps configuration and endpoints up to date with the store while the instance runs.

    Every instance reads the whole store once. The watchers then watch it and send the changes to
    the others through `on_news`. The others call the store only if no peer has confirmed for a
    while that their state is the newest. `on_change` is called after each group of changes, and
    `on_era` with each era of the store that becomes known. `find_newest_read` asks the peers to
    call the store, and returns when one of them last read what goes on from the known position.

    The store has been read here up to `read_position`. The endpoints may be newer, by what peers
    have sent: all of their changes up to `known_position` are applied. Peers send no configuration
    this way, so calls of the store go on from `read_position`. `last_change_position` is what
    heartbeats and pages report to peers. The list has all changes up to it, and is not known to
    have changed since. It is the position of the newest change where a watch or a peer told of it.
    A full read does not tell when an entry was removed, so what it finds changed counts as changed
    at the position of the read.

    `follow` replaces the store. What the one before still answers is then of no interest, and all
    that is known stays until the new one has been read in full.

    A store that has come back from an older copy is in a new era. What was known before is then
    replaced by a full read here, or by the whole list of a peer that has made one. A store may also
    go back without telling so; `HistoryCheck` decides whether an answer from before what is known
    is used.
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
    on_era: OnEra = lambda era: None
    find_newest_read: FindNewestRead = _find_no_read
    is_watcher: Callable[[], bool] = lambda: True
    max_propagation_ms: float = DEFAULT_MAX_PROPAGATION_MS
    needs_full_read: bool = True
    read_position: StorePosition = NO_POSITION
    known_position: StorePosition = NO_POSITION
    last_change_position: StorePosition = NO_POSITION
    is_store_reachable: bool = True
    has_outdated_store: bool = False
    peers_were_ahead: bool = False
    confirmed_at_ms: float = 0.0
    answered_at_ms: float = 0.0
    unreachable_since_ms: float = 0.0
    read_again_at_ms: float = float("-inf")
    next_store: Store | None = None
    call_task: asyncio.Task[Result[StoreAnswer, StoreFailure]] | None = None
    is_restarting_watch: bool = False
    wait_ratio: float = 1.0
    refreshed: asyncio.Event = field(default_factory=asyncio.Event)
    wake_up: asyncio.Event = field(default_factory=asyncio.Event)
    next_store_given: asyncio.Event = field(default_factory=asyncio.Event)
    news_received: asyncio.Event = field(default_factory=asyncio.Event)
    news_sender: str = ""
    history_check: HistoryCheck = field(init=False)
    backoff: Backoff = field(init=False)
    refused_entries: RefusedEntries = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that need others, in a state where no refresh is requested."""
        self.refreshed.set()
        self.history_check = HistoryCheck(self.clock)
        self.backoff = Backoff(self.random, RETRY_INITIAL_MS, RETRY_MAX_MS)
        self.refused_entries = RefusedEntries(self.audit, self.counters)

    async def run(self) -> None:
        """Follow the store until the task is cancelled."""
        while True:
            if self.next_store is not None:
                await self._change_store(self.next_store)
            if not self._should_call():
                self.wake_up.clear()
                await _wait_for(self.wake_up, WATCHER_CHECK_INTERVAL_MS)
                continue
            is_full_read = self._must_read_in_full()
            view = KnownView(self.known_position, None if is_full_read else self.read_position)
            answer = await self._call(is_full=is_full_read)
            if answer is None or self.next_store is not None:
                continue
            if isinstance(answer, Ok):
                answer = self.history_check.place(answer.ok_value, view, self.known_position)
            if isinstance(answer, Err):
                await self._handle_failure(answer.err_value)
                continue
            self._record_success()
            await self._apply(answer.ok_value, is_full=is_full_read)
            self.refreshed.set()
            await self.clock.sleep_ms(SETTLE_MS)

    async def run_change_notifications(self) -> None:
        """Call `on_change` for changes that peers report, in groups, and for expired endpoints."""
        while True:
            await _wait_for(self.news_received, SETTLE_MS)
            had_news = self.news_received.is_set()
            if had_news:
                await self.clock.sleep_ms(BATCH_DELAY_MS)
                self.news_received.clear()
                cause, version = f"news from {self.news_sender}", self.known_position.revision
                self.audit.record("endpoints", "taken", cause=cause, version=version)
            if self.endpoints.expire(self.clock.now_ms()) or had_news:
                await self.on_change()

    def follow(self, store: Store) -> None:
        """Follow another store in place of the present one, whose call in progress is given up."""
        self.next_store = store
        self.next_store_given.set()
        self.wake_up.set()
        if self.call_task is not None:
            self.call_task.cancel()

    def is_behind(self, position: StorePosition) -> bool:
        """Return whether this instance lacks the change at `position`, which a peer has."""
        return position > self.known_position

    def is_in_older_era(self, position: StorePosition) -> bool:
        """Return whether a peer at `position` knows of a newer era of the store."""
        return position.era > self.known_position.era

    def confirm(self, position: StorePosition, age_ms: float) -> None:
        """Record that a peer at `position` was known to be up to date `age_ms` ago."""
        if self.needs_full_read or self.is_behind(position):
            return
        if position.era == self.known_position.era:
            self.confirmed_at_ms = max(self.confirmed_at_ms, self.clock.now_ms() - age_ms)

    def apply_news(self, peer: str, news: StoreNews) -> bool:
        """Apply changes from a peer; return whether they were new and left no gap."""
        if not self.is_behind(news.position) or news.after_position > self.known_position:
            return False
        if self.is_in_older_era(news.position):
            return False  # the list here may have changes that the store has lost
        now_ms = self.clock.now_ms()
        self._advance(news.position, peer)
        for endpoint in news.endpoints:
            self.endpoints.put(endpoint.name, endpoint, now_ms)
        for name in news.removed:
            self.endpoints.remove(name, now_ms)
        for name in news.missing:
            self.endpoints.keep_missing(name, now_ms)
        if news.evacuated is not None:
            self.endpoints.set_evacuated(news.evacuated)
        self.counters.add("store_news", "taken")
        self.news_sender = peer
        self.news_received.set()
        return True

    async def apply_peer_state(
        self,
        peer: str,
        position: StorePosition,
        endpoints: Iterable[ListedEndpoint],
        missing: Iterable[str] = (),
        evacuated: Iterable[str] | None = None,
        confirmed_at_ms: float = float("-inf"),
    ) -> None:
        """Apply all that a peer lists if its position is newer than the one here.

        The list of the peer was known to be the newest at `confirmed_at_ms`.

        Evacuations stay as they are where `evacuated` is none. If the peer has none, the digests
        then differ, and the store is read again.
        """
        if not self.is_behind(position):
            return
        if self.is_in_older_era(position):
            self.needs_full_read = False  # the next call reads in full all the same
        self._advance(position, peer, confirmed_at_ms)
        self.endpoints.apply_peer_state(endpoints, missing, self.clock.now_ms())
        if evacuated is not None:
            self.endpoints.set_evacuated(evacuated)
        self.audit.record("endpoints", "taken", cause=f"peer {peer}", version=position.revision)
        await self.on_change()

    def restart_watch(self) -> None:
        """Restart the watch in progress, as it has not returned a change that a peer has.

        Its response may have been lost, and its connection may be dead without an error.
        """
        if self.call_task is not None and not self.needs_full_read and self.is_store_reachable:
            self.is_restarting_watch = True
            self.call_task.cancel()

    def adopt_position(self, peer: str, position: StorePosition, confirmed_at_ms: float) -> None:
        """Record that a peer which lists the same endpoints has them at a newer `position`."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, confirmed_at_ms)
        self._begin_era(position.era, f"peer {peer}")
        self.known_position = position
        self.last_change_position = position

    def read_again(self) -> None:
        """Read the whole store again, as a peer lists other endpoints at the same position."""
        now_ms = self.clock.now_ms()
        if self.needs_full_read or not self.is_store_reachable:
            return
        if now_ms - self.read_again_at_ms < READ_AGAIN_INTERVAL_MS:
            return
        self.read_again_at_ms = now_ms
        self.needs_full_read = True
        self.wake_up.set()
        if self.call_task is not None:
            self.call_task.cancel()

    async def refresh(self) -> None:
        """Restart the call in progress, as after a pause, and wait until a response is applied."""
        self.refreshed.clear()
        self.wake_up.set()
        if self.call_task is not None:
            self.call_task.cancel()
        await self.refreshed.wait()

    def age_ms(self) -> float:
        """Return the time since the endpoints here were last known to be the newest."""
        return self.clock.now_ms() - self.confirmed_at_ms

    def answer_age_ms(self) -> float:
        """Return the time since an answer of the store was last used here."""
        return self.clock.now_ms() - self.answered_at_ms

    async def _change_store(self, store: Store) -> None:
        before, self.store = self.store, store
        self.next_store = None
        self.next_store_given.clear()
        self.needs_full_read = True
        self.backoff.reset()
        self.history_check.trust_next()
        cause = f"the settings name {store.address}, {before.address} before"
        self.audit.record("store", "address changed", cause=cause)
        await before.close()

    async def _wait_to_retry(self, limit_ms: float) -> None:
        """Wait for at most `limit_ms`, and no longer than until another store is to be followed."""
        await _wait_for(self.next_store_given, limit_ms)

    async def _do_peers_know_better(self) -> bool:
        """Return whether a peer reads something newer than what the store has told here."""
        read_at_ms = await self.find_newest_read()
        self.confirmed_at_ms = max(self.confirmed_at_ms, read_at_ms)
        return self.history_check.contradict(read_at_ms)

    async def _wait_while_peers_know_better(self) -> None:
        """Wait until the store may tell something newer, or no peer confirms what is known."""
        until_ms = self.clock.now_ms() + READ_AGAIN_INTERVAL_MS
        while self.clock.now_ms() < until_ms and self.next_store is None:
            if self._is_unconfirmed():
                self.confirmed_at_ms = max(self.confirmed_at_ms, await self.find_newest_read())
            if self._is_unconfirmed():
                return
            await self._wait_to_retry(WATCHER_CHECK_INTERVAL_MS)

    def _is_unconfirmed(self) -> bool:
        """Return whether nobody has confirmed the view here for a while."""
        return self.age_ms() > UNCONFIRMED_RATIO * self.max_propagation_ms

    def _should_call(self) -> bool:
        """Return whether to call the store now: as a watcher, to refresh, or if unconfirmed."""
        if self.needs_full_read or not self.refreshed.is_set() or self.is_watcher():
            return True
        return self._is_unconfirmed()

    def _must_read_in_full(self) -> bool:
        """Return whether the next call has to read the whole store.

        A store that tells no era may have come back from an older copy while it was away. Watchers
        find that out; the others learn of it from them.
        """
        if self.needs_full_read or self.read_position.era < self.known_position.era:
            return True
        tells_no_era = self.read_position.told.era == 0
        return tells_no_era and not self.is_store_reachable and self.is_watcher()

    async def _call(self, *, is_full: bool) -> Result[StoreAnswer, StoreFailure] | None:
        """Call the store and return its answer, none if the call was cancelled for a new one."""
        self.call_task = asyncio.create_task(self._call_store(is_full=is_full), name="call store")
        try:
            return await self.call_task
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            if not self.is_restarting_watch:
                return None
            refusal = Refusal(
                Code.PLATFORM_DOWN, detail="the watch did not return changes that peers have"
            )
            return Err(StoreFailure(StoreFailureKind.UNAVAILABLE, refusal))
        finally:
            self.call_task = None
            self.is_restarting_watch = False

    async def _call_store(self, *, is_full: bool) -> Result[StoreAnswer, StoreFailure]:
        if is_full:
            self.counters.add("store_calls", "range")
            return await self.store.read_all()
        self.counters.add("store_calls", "watch")
        # Do not wait for a change after an outage, for a refresh, or as a non-watcher: these calls
        # must find out at once whether the store answers and what was missed.
        wait_ms = 0
        if self.is_store_reachable and self.refreshed.is_set() and self.is_watcher():
            wait_ms = int(WATCH_WAIT_MS * self.wait_ratio)
        return await self.store.watch(self.read_position.told, wait_ms)

    async def _handle_failure(self, failure: StoreFailure) -> None:
        self.counters.add("store_failures", failure.refusal.code.name)
        if failure.kind is StoreFailureKind.COMPACTED:
            self.audit.record("store", "history lost", cause=str(failure.refusal))
            self.needs_full_read = True
            return
        if failure.kind is StoreFailureKind.RESTORED:
            self.audit.record("store", "restored", cause=str(failure.refusal))
            self.needs_full_read = True
            if self.refreshed.is_set() and not self.is_watcher():
                # The watchers read the store now, and peers that have the list tell of the era.
                await self._wait_to_retry(self.random.uniform(0.5, 1.0) * WAIT_FOR_PEERS_MS)
            return
        is_outdated = failure.kind is StoreFailureKind.OUTDATED
        if is_outdated and not self.has_outdated_store:
            self.backoff.reset()  # the store answers, after an outage perhaps
        self.has_outdated_store = is_outdated
        if self.is_store_reachable:
            self.is_store_reachable = False
            self.peers_were_ahead = False
            # A watcher notices an outage at once; for others it may have begun at any time since
            # their state was last confirmed.
            self.unreachable_since_ms = (
                self.clock.now_ms() if self.is_watcher() else self.confirmed_at_ms
            )
            self.audit.record("store", "lost", cause=str(failure.refusal))
        if is_outdated and await self._do_peers_know_better():
            await self._wait_while_peers_know_better()
        else:
            await self._wait_to_retry(self.backoff.next_ms())

    def _record_success(self) -> None:
        self.backoff.reset()
        now_ms = self.clock.now_ms()
        self.confirmed_at_ms = now_ms
        self.has_outdated_store = False
        if self.is_store_reachable:
            return
        self.is_store_reachable = True
        # If peers got changes meanwhile, the store was unreachable for this instance only.
        if now_ms - self.unreachable_since_ms >= MIN_LAPSE_MS and not self.peers_were_ahead:
            self.endpoints.begin_grace(now_ms)
        self.audit.record("store", "regained", cause="it answers again")

    def _advance(
        self, position: StorePosition, peer: str, confirmed_at_ms: float = float("-inf")
    ) -> None:
        """Record that a peer has sent all changes up to `position`."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, confirmed_at_ms)
        self._begin_era(position.era, f"peer {peer}")
        self.known_position = position
        self.last_change_position = max(self.last_change_position, position)
        self.peers_were_ahead = True

    def _begin_era(self, era: int, cause: str) -> None:
        """Keep what the store may have lost, if `era` is a new one.

        A watch in progress is ended, as its revisions belong to the era before.
        """
        if era == self.known_position.era:
            return
        self.on_era(era)
        if self.known_position == NO_POSITION:
            return
        self.endpoints.begin_era(self.clock.now_ms())
        self.counters.add("store_eras")
        told_era = StorePosition(era, 0).told.era
        self.audit.record("store", "new era", cause=cause, version=told_era)
        if self.call_task is not None:
            self.call_task.cancel()

    async def _apply(self, answer: StoreAnswer, *, is_full: bool) -> None:
        """Apply an answer of the store.

        A new configuration sends heartbeats, which tell of the position, so that comes first. The
        next call goes on from the answer only when all of it has been applied.
        """
        # A change ends all watches at once. Random waits make the next ones end at different times,
        # so that at any time some watcher has confirmed its state recently.
        self.wait_ratio = self.random.uniform(MIN_WAIT_RATIO, 1.0) if answer.entries else 1.0
        self.refused_entries.record(answer.entries)
        has_changed = self._apply_list(answer, is_full=is_full)
        for entry in answer.entries:
            if isinstance(entry, ConfigurationEntry):
                await self.active_publication.apply(entry.body, source="store")
        self.read_position = answer.position
        if is_full:
            self.needs_full_read = False
        if has_changed:
            await self.on_change()

    def _apply_list(self, answer: StoreAnswer, *, is_full: bool) -> bool:
        """Apply endpoints and evacuations of an answer; return whether there were any changes."""
        if answer.position < self.known_position:
            self.counters.add("store_answers_unused")
            return False  # a peer has sent newer ones meanwhile
        now_ms = self.clock.now_ms()
        self.answered_at_ms = now_ms
        is_new_era = answer.position.era > self.known_position.era
        cause = f"read from the store: {answer.position}, after {self.known_position}"
        self._begin_era(answer.position.era, cause)
        if is_full:
            changed_names = apply_full_read(self.endpoints, answer, now_ms, self.audit)
        else:
            changed_names = apply_changes(self.endpoints, answer, now_ms)
        has_evacuations = apply_evacuations(self.endpoints, answer, is_full=is_full)
        after, self.known_position = self.known_position, answer.position
        changed_at = StorePosition(answer.position.era, answer.last_change)
        if is_full:
            # Later pages may have changes that are newer than the first page, but not all of them.
            changed_at = min(changed_at, answer.position)
            if (changed_names or has_evacuations) and after != NO_POSITION:
                changed_at = answer.position
        # Without a newer change, a peer has sent these entries already. Changes across eras cannot
        # be told, as each peer may know others of those that the store has lost; peers are told of
        # the era and fetch the whole list.
        is_news = changed_at > self.last_change_position and not is_new_era
        self.last_change_position = max(self.last_change_position, changed_at)
        if not answer.entries and not changed_names and not has_evacuations:
            return False
        if is_news and after != NO_POSITION:
            self.on_news(
                make_news(self.endpoints, changed_names, after, changed_at, has_evacuations)
            )
        return True


async def _wait_for(event: asyncio.Event, limit_ms: float) -> None:
    """Wait for an event for at most `limit_ms`."""
    try:
        async with asyncio.timeout(limit_ms / 1000.0):
            await event.wait()
    except TimeoutError:
        pass  # the caller checks the event

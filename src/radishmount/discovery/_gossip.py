"""Gossip of store changes between instances, for those that do not watch the store."""

import asyncio
from collections import deque
from dataclasses import dataclass, field, replace
from functools import reduce
from random import Random
from typing import Any

from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Refusal
from radishmount.counters import Counters
from radishmount.discovery._follower import StoreFollower
from radishmount.discovery._listed_endpoint import ListedEndpoint
from radishmount.discovery._messages import (
    EndpointPage,
    EndpointPageRequest,
    StoreEra,
    StoreNews,
    ViewCheckRequest,
)
from radishmount.discovery._position import NO_POSITION, StorePosition
from radishmount.fleet import Heartbeat, Message, Peers, PeerSession


__all__ = ["EndpointGossip"]

MAX_LAG_MS = 600.0  # a change passes through a fleet in about half of this
FORWARD_MIN_DELAY_MS = 50.0  # changes of many endpoints come within seconds
FORWARD_MAX_DELAY_MS = 150.0  # the longer of two neighbours' delays saves a message
RECENT_MS = 5_000.0  # several heartbeats
# In which the watchers of a data centre have read a change and passed it on.
OWN_WATCHERS_DELAY_MS = 300.0
PAGE_LENGTH = 500  # entries of about 150 bytes, within the size limit of a frame
PAGE_TIMEOUT_MS = 1_000.0  # about a hundred round trips within a region
VIEW_CHECK_TIMEOUT_MS = 500.0  # a round trip, and a call of the store that waits for nothing


@dataclass(slots=True)
class EndpointGossip:
    """Passes on changes of the store, and fetches all endpoints from a peer after a missed change.

    Each data centre has its own watchers, so changes are pushed only within a data centre. What a
    watcher reads leaves at once. Others pass on what was new to them after a short random delay,
    together with all that came meanwhile, and only to peers that are not known to have it. A peer
    elsewhere, whose watchers may not reach the store, gets what its heartbeats show to be missing
    after `OWN_WATCHERS_DELAY_MS`.

    An instance that stays behind a peer for `MAX_LAG_MS` fetches all endpoints from it. It also
    restarts its own watch of the store, whose connection may be dead without an error. If a peer
    knows of a newer era of the store, it fetches them at once. `era_by_peer` has the era that each
    peer told over its open stream; a peer of an earlier version tells none.

    `pending_news` are the changes that wait to be passed on, `recent_news` those of the last
    `RECENT_MS` with the times at which they came here.
    """

    follower: StoreFollower
    peers: Peers
    clock: Clock
    random: Random
    audit: AuditTrail
    counters: Counters
    pending_news: list[StoreNews] = field(default_factory=list)
    forward_timer: asyncio.TimerHandle | None = None
    position_by_peer: dict[str, StorePosition] = field(default_factory=dict)
    recent_news: deque[tuple[float, StoreNews]] = field(default_factory=deque)
    behind_since_ms_by_peer: dict[str, float] = field(default_factory=dict)
    era_by_peer: dict[str, int] = field(default_factory=dict)
    fetch_task: asyncio.Task[None] | None = None
    differing_since_ms_by_peer: dict[str, float] = field(default_factory=dict)

    def start(self) -> None:
        """Register the handlers of page requests and changes; broadcast changes of the store."""
        self.peers.handle_requests(EndpointPageRequest, self._handle_request)
        self.peers.handle_notices(StoreNews, self._handle_notice)
        self.peers.handle_notices(StoreEra, self._handle_era)
        self.peers.on_open.append(self._begin_stream)
        self.peers.handle_requests(ViewCheckRequest, self._handle_view_check)
        self.follower.on_news = self.broadcast
        self.follower.find_newest_read = self._find_newest_read
        self.follower.on_era = self._broadcast_era

    def _begin_stream(self, session: PeerSession) -> None:
        """Tell a peer of the era. What it told over an earlier stream may be outdated."""
        name = session.peer.name
        open_names = self.peers.sessions_by_name.keys() - {name}
        self.era_by_peer = {n: era for n, era in self.era_by_peer.items() if n in open_names}
        session.notify(StoreEra(self.follower.known_position.era, self.follower.age_ms()))

    def _broadcast_era(self, era: int) -> None:
        """Tell all peers of an era before the first heartbeat that refers to it."""
        message = StoreEra(era, self.follower.age_ms())
        for session in self.peers.sessions_by_name.values():
            session.notify(message)

    def _handle_era(self, session: PeerSession, message: StoreEra) -> None:
        """Fetch the list of a newer era at once, as no changes are sent across eras."""
        self.era_by_peer[session.peer.name] = message.era
        known = self.follower.known_position
        if known != NO_POSITION and message.era > known.era:
            self._start_fetch(session.peer.name, message.list_age_ms)

    async def _find_newest_read(self) -> float:
        """Ask the peers to call the store; return when the last of them read what is known here."""
        asked_at_ms = self.clock.now_ms()
        known = self.follower.known_position
        request = ViewCheckRequest(known.era)
        requests = [
            self.peers.request(name, request, VIEW_CHECK_TIMEOUT_MS)
            for name in self.peers.sessions_by_name
        ]
        newest_ms = float("-inf")
        for answer in await asyncio.gather(*requests):
            if isinstance(answer, Err) or not isinstance(answer.ok_value, StoreEra):
                continue
            if answer.ok_value.era == known.era:
                newest_ms = max(newest_ms, asked_at_ms - answer.ok_value.list_age_ms)
        return newest_ms

    async def _handle_view_check(
        self, peer: str, request: ViewCheckRequest
    ) -> Result[Any, Refusal]:
        """Call the store, as a watcher, and answer with the time since it was last read here."""
        follower = self.follower
        is_asked = follower.is_watcher() and follower.known_position.era == request.era
        if is_asked and follower.is_store_reachable:
            try:
                async with asyncio.timeout(VIEW_CHECK_TIMEOUT_MS / 1000.0):
                    await follower.refresh()
                return Ok(StoreEra(follower.known_position.era, 0.0))
            except TimeoutError:
                pass  # the store has told nothing newer
        return Ok(StoreEra(follower.known_position.era, follower.answer_age_ms()))

    def _readable_by(self, peer: str, message: Message) -> Message:
        """Return a message without its era, if `peer` is of a version that knows no eras."""
        return message if peer in self.era_by_peer else replace(message, era=0)

    def broadcast(self, news: StoreNews) -> None:
        """Send a change that was read here to the peers of the data centre that lack it."""
        self._add_pending(news)
        self._send_pending()

    def _forward_later(self, news: StoreNews) -> None:
        self._add_pending(news)
        if self.forward_timer is not None:
            return
        delay_ms = self.random.uniform(FORWARD_MIN_DELAY_MS, FORWARD_MAX_DELAY_MS)
        loop = asyncio.get_running_loop()
        self.forward_timer = loop.call_later(delay_ms / 1000.0, self._send_pending)

    def _add_pending(self, news: StoreNews) -> None:
        """Add a change to those that wait; send these first if both do not make one message."""
        self._remember(news)
        if news.length > PAGE_LENGTH:
            return  # peers notice that they are behind and fetch it
        pending_length = sum(pending.length for pending in self.pending_news)
        is_gap = bool(self.pending_news) and news.after_position > self.pending_news[-1].position
        if is_gap or pending_length + news.length > PAGE_LENGTH:
            self._send_pending()
        self.pending_news.append(news)

    def _send_pending(self) -> None:
        """Send each peer of the data centre what it lacks of the changes that wait."""
        pending, self.pending_news = self.pending_news, []
        if self.forward_timer is not None:
            self.forward_timer.cancel()
            self.forward_timer = None
        own_data_centre = self.peers.fleet.own_data_centre
        sessions = [
            session
            for session in self.peers.sessions_by_name.values()
            if session.peer.data_centre == own_data_centre
        ]
        known = self.position_by_peer
        self.position_by_peer = {s.peer.name: known.get(s.peer.name, NO_POSITION) for s in sessions}
        message_by_count: dict[int, StoreNews] = {}
        for session in sessions:
            position = self.position_by_peer[session.peer.name]
            lacking = [news for news in pending if news.position > position]
            if not lacking:
                continue
            if len(lacking) not in message_by_count:
                message_by_count[len(lacking)] = reduce(StoreNews.followed_by, lacking)
            session.notify(self._readable_by(session.peer.name, message_by_count[len(lacking)]))

    def _remember(self, news: StoreNews) -> None:
        now_ms = self.clock.now_ms()
        if self.recent_news and news.after_position > self.recent_news[-1][1].position:
            self.recent_news.clear()  # there may be changes between them
        self.recent_news.append((now_ms, news))
        while now_ms - self.recent_news[0][0] > RECENT_MS:
            self.recent_news.popleft()

    def _send_missing(self, peer: str, position: StorePosition) -> None:
        """Send a peer at `position` the recent changes that it should have got by now."""
        session = self.peers.sessions_by_name.get(peer)
        limit_ms = self.clock.now_ms() - OWN_WATCHERS_DELAY_MS
        lacking = [
            news
            for at_ms, news in self.recent_news
            if news.position > position and at_ms < limit_ms
        ]
        if session is None or not lacking or lacking[0].after_position > position:
            return
        message = reduce(StoreNews.followed_by, lacking)
        if message.length <= PAGE_LENGTH:
            session.notify(message)

    def on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Send a peer what it lacks, or fetch its endpoints if this instance stays behind it."""
        position = StorePosition(self.era_by_peer.get(peer, 0), heartbeat.list_version)
        self.position_by_peer[peer] = position
        self._send_missing(peer, position)
        self._adopt_position_of_equal_list(peer, position, heartbeat)
        self._compare_lists(peer, position, heartbeat.list_digest)
        # A peer with a newer configuration shows that there is something to read.
        if heartbeat.bundle_version <= self.follower.active_publication.current.version:
            self.follower.confirm(position, heartbeat.list_age_ms)
        if not self.follower.is_behind(position):
            self.behind_since_ms_by_peer.pop(peer, None)
            return
        now_ms = self.clock.now_ms()
        behind_since_ms = self.behind_since_ms_by_peer.setdefault(peer, now_ms)
        if not self.follower.is_in_older_era(position):
            is_first_list = self.follower.last_change_position == NO_POSITION
            if not is_first_list and now_ms - behind_since_ms < MAX_LAG_MS:
                return
            self.follower.restart_watch()
        self._start_fetch(peer, heartbeat.list_age_ms)

    def _start_fetch(self, peer: str, list_age_ms: float) -> None:
        """Fetch the list of a peer, which was known to be the newest `list_age_ms` ago."""
        if self.fetch_task is None or self.fetch_task.done():
            confirmed_at_ms = self.clock.now_ms() - list_age_ms
            fetching = self._fetch(peer, confirmed_at_ms)
            self.fetch_task = asyncio.create_task(fetching, name="fetch endpoints")

    def _adopt_position_of_equal_list(
        self, peer: str, position: StorePosition, heartbeat: Heartbeat
    ) -> None:
        """Spare the fetch of a list that is the same as the one here, only at a newer position."""
        follower = self.follower
        if follower.needs_full_read or not follower.is_behind(position):
            return
        if heartbeat.list_digest == follower.endpoints.digest:
            confirmed_at_ms = self.clock.now_ms() - heartbeat.list_age_ms
            follower.adopt_position(peer, position, confirmed_at_ms)

    def _compare_lists(self, peer: str, position: StorePosition, digest: int) -> None:
        """Read the store again if a peer keeps listing other endpoints at the same position.

        One of the two has missed a change, and neither can tell which. Both read the store, and
        the one whose list changes by that reports it to the others under a newer position.
        """
        is_same = digest == self.follower.endpoints.digest
        if position != self.follower.last_change_position or is_same:
            self.differing_since_ms_by_peer.pop(peer, None)
            return
        now_ms = self.clock.now_ms()
        differing_ms = now_ms - self.differing_since_ms_by_peer.setdefault(peer, now_ms)
        if differing_ms < MAX_LAG_MS:
            return
        self.counters.add("endpoint_lists_differ")
        cause = f"{peer} has listed others for {differing_ms:.0f} ms"
        self.audit.record("endpoints", "differ", cause=cause, version=position.revision)
        self.follower.read_again()

    async def stop(self) -> None:
        """Cancel a fetch that is in progress, and drop what waits to be sent."""
        if self.forward_timer is not None:
            self.forward_timer.cancel()
        if self.fetch_task is not None:
            self.fetch_task.cancel()
            await asyncio.gather(self.fetch_task, return_exceptions=True)

    def _handle_notice(self, session: PeerSession, news: StoreNews) -> None:
        peer = session.peer.name
        known = self.position_by_peer.get(peer, NO_POSITION)
        self.position_by_peer[peer] = max(known, news.position)
        if self.follower.apply_news(peer, news):
            self._forward_later(news)

    async def _fetch(self, peer: str, confirmed_at_ms: float) -> None:
        listed: list[ListedEndpoint] = []
        missing: set[str] = set()
        evacuated: tuple[str, ...] | None = None
        position: StorePosition | None = None
        while True:
            after = listed[-1].name if listed else ""
            answer = await self.peers.request(peer, EndpointPageRequest(after), PAGE_TIMEOUT_MS)
            if isinstance(answer, Err):
                self.counters.add("endpoint_fetch_errors", answer.err_value.code.name)
                return
            page = answer.ok_value
            position = page.position if position is None else min(position, page.position)
            listed.extend(page.endpoints)
            missing.update(page.missing)
            evacuated = page.evacuated
            if not page.has_more or not page.endpoints:
                break
        self.behind_since_ms_by_peer.clear()
        await self.follower.apply_peer_state(
            peer, position, listed, missing, evacuated, confirmed_at_ms
        )

    async def _handle_request(
        self, peer: str, request: EndpointPageRequest
    ) -> Result[Any, Refusal]:
        endpoints = self.follower.endpoints
        listed = [entry for entry in endpoints.present_endpoints() if entry.name > request.after]
        names = sorted(name for name in endpoints.missing_until_ms_by_name if name > request.after)
        has_more = len(listed) > PAGE_LENGTH
        if has_more:
            listed = listed[:PAGE_LENGTH]
            names = [name for name in names if name <= listed[-1].name]
        page = EndpointPage(
            self.follower.last_change_position.revision,
            tuple(listed),
            has_more,
            tuple(names),
            tuple(sorted(endpoints.evacuated_data_centres)) or None,
            self.follower.last_change_position.era,
        )
        return Ok(self._readable_by(peer, page))

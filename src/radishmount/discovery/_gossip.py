"""The spread of listed endpoints between instances, for those that do not watch the store."""

import asyncio
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from radishmount.clock import Clock
from radishmount.codes import Refusal
from radishmount.counters import Counters
from radishmount.discovery._follower import StoreFollower
from radishmount.discovery._listed_endpoint import ListedEndpoint
from radishmount.discovery._messages import EndpointPage, EndpointPageRequest, StoreNews
from radishmount.fleet import Heartbeat, Peers, PeerSession


__all__ = ["EndpointGossip"]

BEHIND_MS = 600.0  # news travel through a fleet in a tenth of this
PAGE_LENGTH = 500  # entries of some 150 bytes, within the limit of a frame
PAGE_TIMEOUT_MS = 1_000.0  # a round trip within a region, a hundred times over


@dataclass(slots=True)
class EndpointGossip:
    """Sends on what changed in the store, and asks a peer for all where something was missed.

    News that are taken go on to every other neighbour, so each instance sends them once. Being
    behind a peer for a while also means that the watch at the store may be dead without a sign, so
    it is begun anew.
    """

    follower: StoreFollower
    peers: Peers
    clock: Clock
    counters: Counters
    behind_since_ms: float | None = None
    fetch_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Answer peers that ask, and take and send on what changes."""
        self.peers.handle_requests(EndpointPageRequest, self._answer)
        self.peers.handle_notices(StoreNews, self._take_notice)
        self.follower.on_news = self.broadcast

    def broadcast(self, news: StoreNews, sender: str = "") -> None:
        """Send news to every peer but the one that they came from."""
        if len(news.endpoints) + len(news.removed) + len(news.missing) > PAGE_LENGTH:
            return  # more than a frame holds; peers find themselves behind and ask
        for session in list(self.peers.sessions_by_name.values()):
            if session.peer.name != sender:
                session.notify(news)

    def on_heartbeat(self, peer: str, beat: Heartbeat) -> None:
        """Compare what a peer holds with what is here."""
        self.follower.confirm(beat.list_version, beat.list_age_ms)
        if not self.follower.is_behind(beat.list_version):
            self.behind_since_ms = None
            return
        now_ms = self.clock.now_ms()
        if self.behind_since_ms is None:
            self.behind_since_ms = now_ms
        if self.follower.last_change_revision and now_ms - self.behind_since_ms < BEHIND_MS:
            return
        self.follower.doubt()
        if self.fetch_task is None or self.fetch_task.done():
            self.fetch_task = asyncio.create_task(self._fetch(peer), name="fetch endpoints")

    async def stop(self) -> None:
        """End a fetch that is under way."""
        if self.fetch_task is not None:
            self.fetch_task.cancel()
            await asyncio.gather(self.fetch_task, return_exceptions=True)

    def _take_notice(self, session: PeerSession, news: StoreNews) -> None:
        if self.follower.take_news(session.peer.name, news):
            self.broadcast(news, session.peer.name)

    async def _fetch(self, peer: str) -> None:
        listed: list[ListedEndpoint] = []
        missing: set[str] = set()
        revision: int | None = None
        while True:
            after = listed[-1].name if listed else ""
            answer = await self.peers.request(peer, EndpointPageRequest(after), PAGE_TIMEOUT_MS)
            if isinstance(answer, Err):
                self.counters.add("endpoint_fetch_errors", answer.err_value.code.name)
                return
            page = answer.ok_value
            revision = page.revision if revision is None else min(revision, page.revision)
            listed.extend(page.endpoints)
            missing.update(page.missing)
            if not page.has_more or not page.endpoints:
                break
        self.behind_since_ms = None
        await self.follower.take_from_peer(peer, revision, listed, missing)

    async def _answer(self, peer: str, request: EndpointPageRequest) -> Result[Any, Refusal]:
        endpoints = self.follower.endpoints
        listed = [entry for entry in endpoints.listed_now() if entry.name > request.after]
        missing = sorted(endpoints.missing_until_ms_by_name)[:PAGE_LENGTH]
        page = EndpointPage(
            self.follower.last_change_revision,
            tuple(listed[:PAGE_LENGTH]),
            len(listed) > PAGE_LENGTH,
            tuple(missing),
        )
        return Ok(page)

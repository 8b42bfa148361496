"""Gossip of store changes between instances, for those that do not watch the store."""

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

MAX_LAG_MS = 600.0  # a change passes through a fleet in a tenth of this
PAGE_LENGTH = 500  # entries of about 150 bytes, within the size limit of a frame
PAGE_TIMEOUT_MS = 1_000.0  # about a hundred round trips within a region


@dataclass(slots=True)
class EndpointGossip:
    """Passes on changes of the store, and fetches all endpoints from a peer after a missed change.

    A change that was new here is sent once to every peer but its sender. An instance that stays
    behind a peer for `MAX_LAG_MS` fetches all endpoints from it. It also restarts its own watch of
    the store, whose connection may be dead without an error.
    """

    follower: StoreFollower
    peers: Peers
    clock: Clock
    counters: Counters
    behind_since_ms: float | None = None
    fetch_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Register the handlers of page requests and changes; broadcast changes of the store."""
        self.peers.handle_requests(EndpointPageRequest, self._handle_request)
        self.peers.handle_notices(StoreNews, self._handle_notice)
        self.follower.on_news = self.broadcast

    def broadcast(self, news: StoreNews, sender: str = "") -> None:
        """Send a change to every peer but its sender."""
        if len(news.endpoints) + len(news.removed) + len(news.missing) > PAGE_LENGTH:
            return  # too large for a frame; peers notice that they are behind and fetch it
        for session in list(self.peers.sessions_by_name.values()):
            if session.peer.name != sender:
                session.notify(news)

    def on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Fetch the endpoints of a peer if this instance stays behind its revision for too long."""
        self.follower.confirm(heartbeat.list_version, heartbeat.list_age_ms)
        if not self.follower.is_behind(heartbeat.list_version):
            self.behind_since_ms = None
            return
        now_ms = self.clock.now_ms()
        if self.behind_since_ms is None:
            self.behind_since_ms = now_ms
        if self.follower.last_change_revision and now_ms - self.behind_since_ms < MAX_LAG_MS:
            return
        self.follower.restart_watch()
        if self.fetch_task is None or self.fetch_task.done():
            self.fetch_task = asyncio.create_task(self._fetch(peer), name="fetch endpoints")

    async def stop(self) -> None:
        """Cancel a fetch that is in progress."""
        if self.fetch_task is not None:
            self.fetch_task.cancel()
            await asyncio.gather(self.fetch_task, return_exceptions=True)

    def _handle_notice(self, session: PeerSession, news: StoreNews) -> None:
        if self.follower.apply_news(session.peer.name, news):
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
        await self.follower.apply_peer_state(peer, revision, listed, missing)

    async def _handle_request(
        self, peer: str, request: EndpointPageRequest
    ) -> Result[Any, Refusal]:
        endpoints = self.follower.endpoints
        listed = [entry for entry in endpoints.present_endpoints() if entry.name > request.after]
        missing = sorted(endpoints.missing_until_ms_by_name)[:PAGE_LENGTH]
        page = EndpointPage(
            self.follower.last_change_revision,
            tuple(listed[:PAGE_LENGTH]),
            len(listed) > PAGE_LENGTH,
            tuple(missing),
        )
        return Ok(page)

"""The spread of listed endpoints between instances, for those that the store does not serve."""

import asyncio
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from radishmount.clock import Clock
from radishmount.codes import Refusal
from radishmount.counters import Counters
from radishmount.discovery._follower import StoreFollower
from radishmount.discovery._listed import ListedEndpoint
from radishmount.discovery._messages import EndpointPage, EndpointPageRequest
from radishmount.fleet import Heartbeat, Peers


__all__ = ["EndpointSpread"]

BEHIND_MS = 600.0  # the store's own watch brings a change within half of this
PAGE_LENGTH = 500  # entries of some 150 bytes, within the limit of a frame
PAGE_TIMEOUT_MS = 1_000.0  # a round trip within a region, a hundred times over


@dataclass(slots=True)
class EndpointSpread:
    """Asks a peer that holds a later revision for a while, and answers those that ask.

    Being behind also means that the watch at the store may be dead without a sign, so it is begun
    anew.
    """

    follower: StoreFollower
    peers: Peers
    clock: Clock
    counters: Counters
    behind_since_ms: float | None = None
    fetching: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Answer peers that ask."""
        self.peers.answer(EndpointPageRequest, self._answer)

    def see(self, peer: str, beat: Heartbeat) -> None:
        """Compare the revision that a peer holds with the one here."""
        if beat.list_version <= self.follower.held_revision:
            self.behind_since_ms = None
            return
        now_ms = self.clock.now_ms()
        if self.behind_since_ms is None:
            self.behind_since_ms = now_ms
        if self.follower.held_revision and now_ms - self.behind_since_ms < BEHIND_MS:
            return
        self.follower.doubt()
        if self.fetching is None or self.fetching.done():
            self.fetching = asyncio.create_task(self._fetch(peer), name="fetch endpoints")

    async def stop(self) -> None:
        """End a fetch that is under way."""
        if self.fetching is not None:
            self.fetching.cancel()
            await asyncio.gather(self.fetching, return_exceptions=True)

    async def _fetch(self, peer: str) -> None:
        listed: list[ListedEndpoint] = []
        missing: set[str] = set()
        revision: int | None = None
        while True:
            after = listed[-1].name if listed else ""
            answer = await self.peers.ask(peer, EndpointPageRequest(after), PAGE_TIMEOUT_MS)
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
            self.follower.held_revision,
            tuple(listed[:PAGE_LENGTH]),
            len(listed) > PAGE_LENGTH,
            tuple(missing),
        )
        return Ok(page)

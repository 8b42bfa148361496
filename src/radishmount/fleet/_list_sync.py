"""Synchronises the instance list between instances."""

import asyncio
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from radishmount.codes import Refusal
from radishmount.counters import Counters
from radishmount.fleet._fleet import InstanceList
from radishmount.fleet._messages import Heartbeat, ListReply, ListRequest
from radishmount.fleet._peers import Peers
from radishmount.fleet._platform_poller import InstanceListUpdater


__all__ = ["InstanceListSync"]

LIST_TIMEOUT_MS = 2_000.0


@dataclass(slots=True)
class InstanceListSync:
    """Fetches newer instance lists from peers, and serves its own to them."""

    updater: InstanceListUpdater
    peers: Peers
    counters: Counters
    fetch_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Serve the list to peers."""
        self.peers.handle_requests(ListRequest, self._handle_request)

    def on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Fetch the list of `peer` if it is newer; one fetch runs at a time."""
        if heartbeat.list_version <= self.updater.fleet.list_version:
            return
        if self.fetch_task is None or self.fetch_task.done():
            self.fetch_task = asyncio.create_task(self._fetch(peer), name="fetch instance list")

    async def stop(self) -> None:
        """Cancel a fetch that is in progress."""
        if self.fetch_task is not None:
            self.fetch_task.cancel()
            await asyncio.gather(self.fetch_task, return_exceptions=True)

    async def _fetch(self, peer: str) -> None:
        request = ListRequest(self.updater.fleet.list_version)
        answer = await self.peers.request(peer, request, LIST_TIMEOUT_MS)
        if isinstance(answer, Err):
            self.counters.add("list_fetch_errors", answer.err_value.code.name)
            return
        reply = answer.ok_value
        leaving = frozenset(reply.leaving_endpoints)
        newer = InstanceList(reply.version, reply.instances, leaving)
        await self.updater.apply(newer, source=f"peer {peer}")

    async def _handle_request(self, peer: str, request: ListRequest) -> Result[Any, Refusal]:
        held = self.updater.fleet.instance_list
        return Ok(ListReply(held.version, held.instances, tuple(sorted(held.leaving_endpoints))))

"""The spread of the instance list between instances."""

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
    """Asks a peer that holds a newer instance list for it, and answers those that ask."""

    watch: InstanceListUpdater
    peers: Peers
    counters: Counters
    fetch_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Answer peers that ask for the list."""
        self.peers.handle_requests(ListRequest, self._answer)

    def on_heartbeat(self, peer: str, beat: Heartbeat) -> None:
        """Take note of the list that `peer` holds, and fetch it when it is newer."""
        if beat.list_version <= self.watch.fleet.list_version:
            return
        if self.fetch_task is None or self.fetch_task.done():
            self.fetch_task = asyncio.create_task(self._fetch(peer), name="fetch instance list")

    async def stop(self) -> None:
        """End a fetch that is under way."""
        if self.fetch_task is not None:
            self.fetch_task.cancel()
            await asyncio.gather(self.fetch_task, return_exceptions=True)

    async def _fetch(self, peer: str) -> None:
        request = ListRequest(self.watch.fleet.list_version)
        answer = await self.peers.request(peer, request, LIST_TIMEOUT_MS)
        if isinstance(answer, Err):
            self.counters.add("list_fetch_errors", answer.err_value.code.name)
            return
        reply = answer.ok_value
        leaving = frozenset(reply.leaving_endpoints)
        newer = InstanceList(reply.version, reply.instances, leaving)
        await self.watch.apply(newer, source=f"peer {peer}")

    async def _answer(self, peer: str, request: ListRequest) -> Result[Any, Refusal]:
        held = self.watch.fleet.instance_list
        return Ok(ListReply(held.version, held.instances, tuple(sorted(held.leaving_endpoints))))

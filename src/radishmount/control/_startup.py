"""The start of an instance: it becomes ready with the highest version that it can find."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.fleet import InstanceListSync, Membership, PlatformPoller
from radishmount.publication import BundleDistribution


__all__ = ["Startup"]

PEERS_TIMEOUT_MS = 5_000.0
SEED_INTERVAL_MS = 1_000.0


@dataclass(slots=True)
class Startup:
    """Waits for the platform and the peers, each of which may be unreachable or outdated."""

    clock: Clock
    audit: AuditTrail
    counters: Counters
    membership: Membership
    bundle_distribution: BundleDistribution
    list_sync: InstanceListSync
    bundle_poller: PlatformPoller
    list_poller: PlatformPoller
    seeds: tuple[str, ...] = ()
    has_started: bool = False

    async def run(self) -> None:
        """Become ready once the platform and all neighbours were consulted.

        Neighbours are waited for at most 5 s after an instance list is known. Without any
        publication the instance does not become ready.
        """
        await self.list_poller.first_read.wait()
        await self.bundle_poller.first_read.wait()
        fleet, active_publication = (
            self.membership.fleet,
            self.bundle_distribution.active_publication,
        )
        await self._wait_for(lambda: fleet.list_version > 0)
        try:
            async with asyncio.timeout(PEERS_TIMEOUT_MS / 1000.0):
                await self._wait_for(self.membership.all_neighbours_tried)
                await self.wait_for_fetches()
        except TimeoutError:
            self.counters.add("starts_without_all_peers")
        await self._wait_for(lambda: active_publication.current.version > 0)
        self.has_started = True
        version = active_publication.current.version
        cause = "platform and peers were asked"
        self.audit.record("instance", "ready", cause=cause, version=version)

    async def contact_seeds(self) -> None:
        """Connect to the seeds to get an instance list from them while the platform gives none."""
        await self.list_poller.first_read.wait()
        while self.membership.fleet.list_version == 0 and self.seeds:
            for address in self.seeds:
                await self.membership.peers.open_address(address)
            await self.clock.sleep_ms(SEED_INTERVAL_MS)

    async def wait_for_fetches(self) -> None:
        """Wait until the lists and bundles that peers offered are fetched."""
        for fetch_task in (self.list_sync.fetch_task, self.bundle_distribution.fetch_task):
            if fetch_task is not None:
                await asyncio.wait([fetch_task])

    async def _wait_for(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self.membership.progress.clear()
            await self.membership.progress.wait()

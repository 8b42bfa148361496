"""The start of an instance: it is ready only with the highest version that it can learn of."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.fleet import InstanceListSync, Membership, PlatformPoller
from radishmount.publication import BundleDistribution


__all__ = ["Startup"]

START_LIMIT_MS = 5_000.0
SEED_INTERVAL_MS = 1_000.0


@dataclass(slots=True)
class Startup:
    """Waits for the platform and the peers, each of which may be silent or behind."""

    clock: Clock
    audit: AuditTrail
    counters: Counters
    membership: Membership
    bundle_distribution: BundleDistribution
    list_sync: InstanceListSync
    bundle_reader: PlatformPoller
    list_reader: PlatformPoller
    seeds: tuple[str, ...] = ()
    has_started: bool = False

    async def run(self) -> None:
        """Be ready once platform and neighbours were asked, at most 5 s after a list is known."""
        await self.list_reader.first_read.wait()
        await self.bundle_reader.first_read.wait()
        fleet, in_force = self.membership.fleet, self.bundle_distribution.active_publication
        await self._wait_for(lambda: fleet.list_version > 0)
        try:
            async with asyncio.timeout(START_LIMIT_MS / 1000.0):
                await self._wait_for(self.membership.all_neighbours_tried)
                await self.end_fetches()
        except TimeoutError:
            self.counters.add("starts_without_all_peers")
        await self._wait_for(lambda: in_force.current.version > 0)
        self.has_started = True
        version = in_force.current.version
        cause = "platform and peers were asked"
        self.audit.record("instance", "ready", cause=cause, version=version)

    async def ask_seeds(self) -> None:
        """Ask the addresses of the settings for a list while the platform gives none."""
        await self.list_reader.first_read.wait()
        while self.membership.fleet.list_version == 0 and self.seeds:
            for address in self.seeds:
                await self.membership.peers.open_address(address)
            await self.clock.sleep_ms(SEED_INTERVAL_MS)

    async def end_fetches(self) -> None:
        """Wait until what peers offered is there."""
        for fetching in (self.list_sync.fetch_task, self.bundle_distribution.fetch_task):
            if fetching is not None:
                await asyncio.wait([fetching])

    async def _wait_for(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self.membership.progress.clear()
            await self.membership.progress.wait()

"""The entries of a trial, and the faults that are injected into them."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from radishmount.border import EntrySettings, SocketAddress, open_endpoint_channel
from radishmount.policy import QueryPolicy
from radishmount.programs._trial_entry import EntryThread
from radishmount.programs._trial_links import PeerLinks
from radishmount.standins import ListedInstance, SimulatedRegion, delayed_channels
from radishmount.trial import FaultKind, FaultPlan


__all__ = ["EntryFleet", "entry_settings"]

ANY_LOOPBACK_PORT = SocketAddress("127.0.0.1", 0)
PEER_KEY = "a key for trials only"
# The instance list shows that an entry leaves, or has vanished, after these delays.
LIST_UPDATE_DELAY_S = 1.0
VANISHED_LIST_UPDATE_DELAY_S = 3.0


@dataclass(slots=True)
class EntryFleet:
    """The entries of a trial by name.

    `stopped_gracefully` names those that were asked to stop gracefully. `ended_entries_cpu_s` is
    the CPU time of those that have ended.
    """

    simulated_region: SimulatedRegion
    by_name: dict[str, EntryThread] = field(default_factory=dict)
    stopped_gracefully: set[str] = field(default_factory=set)
    ended_entries_cpu_s: float = 0.0
    links: PeerLinks = field(init=False)

    def __post_init__(self) -> None:
        """Create the links between the entries."""
        self.links = PeerLinks(self.simulated_region.plan)

    async def start(self, name: str) -> None:
        """Start an entry and add it to the instance list as live."""
        settings = entry_settings(self.simulated_region, name)
        plan = self.simulated_region.plan
        random = Random(f"{plan.seed}/network/{name}")
        delays = self.simulated_region.delay_by_address(settings.data_centre, random)
        open_channel = delayed_channels(open_endpoint_channel, delays)
        thread = EntryThread(
            settings, str(plan.seed), open_channel, self.links.peer_router_of(name), self.policy
        )
        await thread.start()
        self.by_name[name] = thread
        await self.links.connect(name, thread.peer_address)
        await self._publish_state(name, "live")

    @property
    def policy(self) -> QueryPolicy:
        """Return the mechanisms that the trial leaves enabled."""
        return QueryPolicy(**self.simulated_region.plan.policy)

    async def run_fault(self, fault: FaultPlan) -> None:
        """Inject `fault` into the entries that it names."""
        if fault.kind is FaultKind.PARTITION:
            await self._partition(fault)
            return
        for name in fault.targets:
            match fault.kind:
                case FaultKind.ENTRY_JOIN:
                    await self.start(name)
                case FaultKind.ENTRY_STOP:
                    await self._stop_gracefully(name)
                case FaultKind.ENTRY_VANISH:
                    await self._vanish(name)
                case FaultKind.ENTRY_PAUSE:
                    assert fault.until_ms is not None
                    self.by_name[name].pause(fault.until_ms - fault.at_ms)

    def addresses(self) -> list[str]:
        """Return the addresses at which the running entries serve callers."""
        return [thread.caller_address for thread in self.by_name.values() if thread.is_running]

    async def cpu_s(self) -> float:
        """Return the CPU time of all entries, including those that have ended."""
        running_cpu_s = [await thread.cpu_s() for thread in self.by_name.values()]
        return self.ended_entries_cpu_s + sum(running_cpu_s)

    async def stop(self) -> None:
        """Stop every entry and close the links."""
        await asyncio.gather(*(thread.stop() for thread in self.by_name.values()))
        await self.links.stop()

    async def _partition(self, fault: FaultPlan) -> None:
        """Cut the links between the entries that `fault` names and all others until it ends."""
        self.links.cut(fault.targets)
        if fault.until_ms is None:
            return
        await asyncio.sleep((fault.until_ms - fault.at_ms) / 1000.0)
        self.links.heal()

    async def _stop_gracefully(self, name: str) -> None:
        self.stopped_gracefully.add(name)
        thread = self.by_name[name]
        stopping = asyncio.create_task(thread.leave())
        await asyncio.sleep(LIST_UPDATE_DELAY_S)
        await self._publish_state(name, "leaving")
        await stopping
        self.ended_entries_cpu_s += await thread.cpu_s()
        del self.by_name[name]
        await asyncio.sleep(LIST_UPDATE_DELAY_S)
        await self.simulated_region.remove_instance(name)

    async def _vanish(self, name: str) -> None:
        thread = self.by_name.pop(name)
        await thread.abort()
        self.ended_entries_cpu_s += await thread.cpu_s()
        await asyncio.sleep(VANISHED_LIST_UPDATE_DELAY_S)
        if name not in self.by_name:
            await self.simulated_region.remove_instance(name)

    async def _publish_state(self, name: str, state: str) -> None:
        thread = self.by_name[name]
        instance = ListedInstance(
            name,
            "entry",
            thread.settings.data_centre,
            state,
            thread.caller_address,
            thread.peer_address,
        )
        await self.simulated_region.list_instances(instance)


def entry_settings(simulated_region: SimulatedRegion, name: str) -> EntrySettings:
    """Return the settings of the entry `entry-N`, which listens on loopback ports that are free."""
    index = int(name.rpartition("-")[2]) - 1
    return EntrySettings(
        name=name,
        data_centre=simulated_region.plan.region.data_centre_of(index),
        caller_listen_address=ANY_LOOPBACK_PORT,
        operator_listen_address=ANY_LOOPBACK_PORT,
        peer_listen_address=ANY_LOOPBACK_PORT,
        platform=str(simulated_region.views_by_entry[name].server.address),
        peer_key=PEER_KEY,
    )

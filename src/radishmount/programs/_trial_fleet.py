"""The entries of a trial, and the faults that befall them."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from radishmount.border import EntrySettings, SocketAddress, open_endpoint_channel
from radishmount.policy import QueryPolicy
from radishmount.programs._trial_entry import EntryThread
from radishmount.programs._trial_links import PeerLinks
from radishmount.standins import ListedInstance, Stage, delayed_channels
from radishmount.trial import FaultKind, FaultPlan


__all__ = ["EntryFleet", "entry_settings"]

FREE_LOOPBACK = SocketAddress("127.0.0.1", 0)
PEER_KEY = "a key for trials only"
LIST_LAG_S = 1.0
VANISHED_LIST_LAG_S = 3.0


@dataclass(slots=True)
class EntryFleet:
    """The entries by name. `stopped` names those that were asked to stop gracefully."""

    stage: Stage
    by_name: dict[str, EntryThread] = field(default_factory=dict)
    stopped: set[str] = field(default_factory=set)
    past_cpu_s: float = 0.0
    links: PeerLinks = field(init=False)

    def __post_init__(self) -> None:
        """Lay the links between the entries."""
        self.links = PeerLinks(self.stage.plan)

    async def start(self, name: str) -> None:
        """Start an entry and list it."""
        settings = entry_settings(self.stage, name)
        plan = self.stage.plan
        random = Random(f"{plan.seed}/network/{name}")
        delays = self.stage.delay_by_address(settings.data_centre, random)
        open_channel = delayed_channels(open_endpoint_channel, delays)
        thread = EntryThread(
            settings, str(plan.seed), open_channel, self.links.route_of(name), self.policy
        )
        await thread.start()
        self.by_name[name] = thread
        await self.links.connect(name, thread.peer_address)
        await self._list(name, "live")

    @property
    def policy(self) -> QueryPolicy:
        """Return which mechanisms the trial leaves on."""
        return QueryPolicy(**self.stage.plan.policy)

    async def run_fault(self, fault: FaultPlan) -> None:
        """Lay `fault` on the entries that it names."""
        if fault.kind is FaultKind.PARTITION:
            await self._part(fault)
            return
        for name in fault.targets:
            match fault.kind:
                case FaultKind.ENTRY_JOIN:
                    await self.start(name)
                case FaultKind.ENTRY_STOP:
                    await self._stop(name)
                case FaultKind.ENTRY_VANISH:
                    await self._vanish(name)
                case FaultKind.ENTRY_PAUSE:
                    assert fault.until_ms is not None
                    self.by_name[name].pause(fault.until_ms - fault.at_ms)

    def addresses(self) -> list[str]:
        """Return the callers' addresses of the entries that run."""
        return [thread.caller_address for thread in self.by_name.values() if thread.alive]

    async def cpu_s(self) -> float:
        """Return the processor time of all entries, those that ended included."""
        times = [await thread.cpu_s() for thread in self.by_name.values()]
        return self.past_cpu_s + sum(times)

    async def stop(self) -> None:
        """Stop every entry."""
        await asyncio.gather(*(thread.stop() for thread in self.by_name.values()))
        await self.links.stop()

    async def _part(self, fault: FaultPlan) -> None:
        """Cut the links between the entries that `fault` names and all others."""
        self.links.cut(fault.targets)
        if fault.until_ms is None:
            return
        await asyncio.sleep((fault.until_ms - fault.at_ms) / 1000.0)
        self.links.heal()

    async def _stop(self, name: str) -> None:
        self.stopped.add(name)
        thread = self.by_name[name]
        stopping = asyncio.create_task(thread.leave())
        await asyncio.sleep(LIST_LAG_S)
        await self._list(name, "leaving")
        await stopping
        self.past_cpu_s += await thread.cpu_s()
        del self.by_name[name]
        await asyncio.sleep(LIST_LAG_S)
        await self.stage.unlist(name)

    async def _vanish(self, name: str) -> None:
        thread = self.by_name.pop(name)
        await thread.vanish()
        self.past_cpu_s += await thread.cpu_s()
        await asyncio.sleep(VANISHED_LIST_LAG_S)
        if name not in self.by_name:
            await self.stage.unlist(name)

    async def _list(self, name: str, state: str) -> None:
        thread = self.by_name[name]
        line = ListedInstance(
            name,
            "entry",
            thread.settings.data_centre,
            state,
            thread.caller_address,
            thread.peer_address,
        )
        await self.stage.list_instances(line)


def entry_settings(stage: Stage, name: str) -> EntrySettings:
    """Return the settings of an entry on loopback, with free ports."""
    index = int(name.rpartition("-")[2]) - 1
    return EntrySettings(
        name=name,
        data_centre=stage.plan.region.data_centre_of(index),
        caller_listen_address=FREE_LOOPBACK,
        operator_listen_address=FREE_LOOPBACK,
        peer_listen_address=FREE_LOOPBACK,
        platform=str(stage.views_by_entry[name].server.address),
        peer_key=PEER_KEY,
    )

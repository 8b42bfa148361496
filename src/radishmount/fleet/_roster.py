"""The instances where no platform lists them: each tells of itself, and of those it heard of."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.fleet._fleet import Fleet, InstanceList
from radishmount.fleet._instance import Instance
from radishmount.fleet._messages import MemberState, RosterNews
from radishmount.fleet._peers import Peers
from radishmount.fleet._session import PeerSession


__all__ = ["Roster"]

SEED_FIRST_MS = 150.0  # instances that start together are there within 300 ms of each other
SEED_INTERVAL_MS = 2_000.0  # one dial of a seed, once the first one has answered
SEED_SETTLE_MS = 3_000.0  # the time after which a seed is to be there, as the platform states
FORGET_CHECK_MS = 5_000.0  # a fraction of the time after which an instance is forgotten
FORGET_AFTER_MS = 60_000.0  # longer than a restart, so that shares do not grow meanwhile
GROUP_MS = 50.0  # a fleet that starts tells of its instances one by one, within a second
MAX_NAMED = 200  # instances in one frame, far below its limit of bytes

OnRoster = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class Roster:
    """Builds the instance list from what instances say of themselves.

    A new stream begins with all that both ends know; news travels on to the other neighbours. So
    one seed that answers is enough to be known everywhere. `on_change` is told of each change.
    """

    own: Instance
    seeds: tuple[str, ...]
    fleet: Fleet
    peers: Peers
    clock: Clock
    random: Random
    audit: AuditTrail
    counters: Counters
    on_change: list[OnRoster] = field(default_factory=list)
    suspected_since_ms_by_name: dict[str, float] = field(default_factory=dict)
    started_at_ms: float = 0.0
    telling: asyncio.Task[None] | None = None

    def start(self) -> None:
        """List this instance, and tell every peer of those that are known."""
        self.started_at_ms = self.clock.now_ms()
        self.fleet.apply_list(InstanceList(1, (self.own,)))
        self.peers.handle_notices(RosterNews, self._take_notice)
        self.peers.on_open.append(self._greet)

    def is_settled(self) -> bool:
        """Tell whether the other instances are known, as far as they can be by now."""
        if len(self.fleet.by_name) > 1:
            return True
        return self.clock.now_ms() - self.started_at_ms > SEED_SETTLE_MS

    async def run(self) -> None:
        """Ask the seeds until one has answered, then one of them now and then.

        Two parts of a fleet that grew apart meet again through any seed.
        """
        interval_ms = SEED_FIRST_MS
        while True:
            others = [seed for seed in self.seeds if seed != self.own.peer_address]
            if others:
                await self._dial(self.random.choice(others))
            if len(self.fleet.by_name) > 1:
                interval_ms = SEED_INTERVAL_MS
            await self.clock.sleep_ms(interval_ms * self.random.uniform(0.75, 1.25))

    async def run_expiry(self) -> None:
        """Drop instances that nobody has reached for a long time."""
        while True:
            await self.clock.sleep_ms(FORGET_CHECK_MS)
            now_ms = self.clock.now_ms()
            gone = [name for name in self.fleet.by_name if self._is_gone(name, now_ms)]
            if not gone:
                continue
            self.counters.add("instances_forgotten", amount=len(gone))
            kept = [i for i in self.fleet.by_name.values() if i.name not in gone]
            self._list(kept, f"{', '.join(gone)} not reached")

    async def _dial(self, seed: str) -> None:
        """Open a stream to a seed, unless there is one to the instance that has its address."""
        for name, instance in self.fleet.by_name.items():
            if instance.peer_address == seed and name in self.peers.sessions_by_name:
                return
        await self.peers.open_address(seed)

    def _is_gone(self, name: str, now_ms: float) -> bool:
        state = self.fleet.members.state_of(name)
        if name == self.own.name or state not in (MemberState.SUSPECTED, MemberState.LEAVING):
            self.suspected_since_ms_by_name.pop(name, None)
            return False
        since_ms = self.suspected_since_ms_by_name.setdefault(name, now_ms)
        return now_ms - since_ms > FORGET_AFTER_MS

    def _greet(self, session: PeerSession) -> None:
        known = list(self.fleet.by_name.values())
        for first in range(0, len(known), MAX_NAMED):
            session.notify(RosterNews(tuple(known[first : first + MAX_NAMED])))

    def _take_notice(self, session: PeerSession, news: RosterNews) -> None:
        new = [i for i in news.instances if self._is_new(i)]
        if not new:
            return
        by_name = {**self.fleet.by_name, **{instance.name: instance for instance in new}}
        self._list(list(by_name.values()), f"told by {session.peer.name}")
        for other in list(self.peers.sessions_by_name.values()):
            if other is not session:
                other.notify(RosterNews(tuple(new)))

    def _is_new(self, instance: Instance) -> bool:
        return instance.name != self.own.name and self.fleet.by_name.get(instance.name) != instance

    def _list(self, instances: list[Instance], cause: str) -> None:
        """Take a new list at once, as more news may follow, and tell of it in a task."""
        version = self.fleet.list_version + 1
        self.fleet.apply_list(InstanceList(version, tuple(instances)))
        self.audit.record("roster", f"{len(instances)} instances", cause=cause, version=version)
        if self.telling is None or self.telling.done():
            self.telling = asyncio.create_task(self._tell(), name="tell of the roster")

    async def _tell(self) -> None:
        """Tell those that follow the roster, until they know the newest one."""
        told = 0
        while told < self.fleet.list_version:
            await self.clock.sleep_ms(GROUP_MS)
            told = self.fleet.list_version
            for tell in self.on_change:
                await tell()

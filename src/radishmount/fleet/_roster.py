"""The instance list without a platform: instances find each other through seeds and gossip."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.digest import digest_of_items
from radishmount.fleet._fleet import Fleet, InstanceList
from radishmount.fleet._instance import Instance
from radishmount.fleet._messages import MemberState, RosterDigest, RosterNews
from radishmount.fleet._peers import Peers
from radishmount.fleet._session import PeerSession


__all__ = ["Roster"]

SEED_INITIAL_INTERVAL_MS = 150.0  # instances that start together do so within 300 ms
SEED_INTERVAL_MS = 2_000.0  # once another instance is known
SETTLE_TIMEOUT_MS = 3_000.0  # the platform states that a seed is reachable within this time
EXPIRY_CHECK_INTERVAL_MS = 5_000.0  # a fraction of EXPIRY_MS
EXPIRY_MS = 60_000.0  # longer than a restart, during which the others' shares must not grow
BATCH_DELAY_MS = 50.0  # the instances of a starting fleet become known one by one, within a second
MAX_INSTANCES_PER_FRAME = 200  # far below the size limit of a frame

OnChange = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class Roster:
    """Builds the instance list from what instances announce about themselves.

    On a new stream both ends send a digest of the instances that they know. Where the digests
    differ, each end sends all of them, and what is new to a receiver is passed on to its other
    peers, in groups. One reachable seed is therefore enough for an instance to become known
    everywhere. `on_change` is called after each group of changes.
    """

    own: Instance
    seeds: tuple[str, ...]
    fleet: Fleet
    peers: Peers
    clock: Clock
    random: Random
    audit: AuditTrail
    counters: Counters
    on_change: list[OnChange] = field(default_factory=list)
    down_since_ms_by_name: dict[str, float] = field(default_factory=dict)
    started_at_ms: float = 0.0
    notify_task: asyncio.Task[None] | None = None
    senders_by_pending_name: dict[str, set[str]] = field(default_factory=dict)
    forward_timer: asyncio.TimerHandle | None = None
    digest_of_version: tuple[int, int] = (0, 0)

    def start(self) -> None:
        """List this instance, and send the known instances to each new peer."""
        self.started_at_ms = self.clock.now_ms()
        self.fleet.apply_list(InstanceList(1, (self.own,)))
        self.peers.handle_notices(RosterDigest, self._handle_digest)
        self.peers.handle_notices(RosterNews, self._handle_notice)
        self.peers.on_open.append(self._send_digest)

    def is_settled(self) -> bool:
        """Return whether another instance is known, or none has been found in time."""
        if len(self.fleet.by_name) > 1:
            return True
        return self.clock.now_ms() - self.started_at_ms > SETTLE_TIMEOUT_MS

    async def run(self) -> None:
        """Connect to a random seed, often until another instance is known, then at long intervals.

        The later attempts join parts of the fleet that have lost contact with each other.
        """
        interval_ms = SEED_INITIAL_INTERVAL_MS
        while True:
            others = [seed for seed in self.seeds if seed != self.own.peer_address]
            if others:
                await self._dial(self.random.choice(others))
            if len(self.fleet.by_name) > 1:
                interval_ms = SEED_INTERVAL_MS
            await self.clock.sleep_ms(interval_ms * self.random.uniform(0.75, 1.25))

    async def run_expiry(self) -> None:
        """Drop instances that have been suspected or leaving for `EXPIRY_MS`."""
        while True:
            await self.clock.sleep_ms(EXPIRY_CHECK_INTERVAL_MS)
            now_ms = self.clock.now_ms()
            expired = [name for name in self.fleet.by_name if self._is_expired(name, now_ms)]
            if not expired:
                continue
            self.counters.add("instances_forgotten", amount=len(expired))
            kept = [i for i in self.fleet.by_name.values() if i.name not in expired]
            self._apply_list(kept, f"{', '.join(expired)} not reached")

    async def _dial(self, seed: str) -> None:
        """Open a stream to a seed, unless one is open to the instance with its address."""
        for name, instance in self.fleet.by_name.items():
            if instance.peer_address == seed and name in self.peers.sessions_by_name:
                return
        await self.peers.open_address(seed)

    def _is_expired(self, name: str, now_ms: float) -> bool:
        state = self.fleet.members.state_of(name)
        if name == self.own.name or state not in (MemberState.SUSPECTED, MemberState.LEAVING):
            self.down_since_ms_by_name.pop(name, None)
            return False
        since_ms = self.down_since_ms_by_name.setdefault(name, now_ms)
        return now_ms - since_ms > EXPIRY_MS

    def digest(self) -> int:
        """Return a digest of the known instances, which does not depend on their order."""
        version = self.fleet.list_version
        if self.digest_of_version[0] != version:
            self.digest_of_version = (version, digest_of_items(self.fleet.by_name.values()))
        return self.digest_of_version[1]

    def _send_digest(self, session: PeerSession) -> None:
        session.notify(RosterDigest(self.digest()))

    def _handle_digest(self, session: PeerSession, message: RosterDigest) -> None:
        if message.digest != self.digest():
            self._send_instances(session, list(self.fleet.by_name.values()))

    def _send_instances(self, session: PeerSession, instances: list[Instance]) -> None:
        for first in range(0, len(instances), MAX_INSTANCES_PER_FRAME):
            session.notify(RosterNews(tuple(instances[first : first + MAX_INSTANCES_PER_FRAME])))

    def _handle_notice(self, session: PeerSession, message: RosterNews) -> None:
        sender = session.peer.name
        for instance in message.instances:
            if instance.name in self.senders_by_pending_name:
                self.senders_by_pending_name[instance.name].add(sender)
        new = [i for i in message.instances if self._is_new(i)]
        if not new:
            return
        by_name = {**self.fleet.by_name, **{instance.name: instance for instance in new}}
        self._apply_list(list(by_name.values()), f"told by {sender}")
        for instance in new:
            self.senders_by_pending_name[instance.name] = {sender}
        if self.forward_timer is None:
            loop = asyncio.get_running_loop()
            self.forward_timer = loop.call_later(BATCH_DELAY_MS / 1000.0, self._forward_pending)

    def _forward_pending(self) -> None:
        """Send what was new within `BATCH_DELAY_MS` to each peer that has not sent it itself."""
        self.forward_timer = None
        senders, self.senders_by_pending_name = self.senders_by_pending_name, {}
        for session in list(self.peers.sessions_by_name.values()):
            instances = [
                self.fleet.by_name[name]
                for name, names in senders.items()
                if session.peer.name not in names and name in self.fleet.by_name
            ]
            if instances:
                self._send_instances(session, instances)

    def _is_new(self, instance: Instance) -> bool:
        return instance.name != self.own.name and self.fleet.by_name.get(instance.name) != instance

    def _apply_list(self, instances: list[Instance], cause: str) -> None:
        """Apply a new list at once, and call `on_change` in a task, where changes are grouped."""
        version = self.fleet.list_version + 1
        self.fleet.apply_list(InstanceList(version, tuple(instances)))
        self.audit.record("roster", f"{len(instances)} instances", cause=cause, version=version)
        if self.notify_task is None or self.notify_task.done():
            self.notify_task = asyncio.create_task(self._notify(), name="notify of roster changes")

    async def _notify(self) -> None:
        """Call `on_change` until no newer list was applied meanwhile."""
        notified_version = 0
        while notified_version < self.fleet.list_version:
            await self.clock.sleep_ms(BATCH_DELAY_MS)
            notified_version = self.fleet.list_version
            for callback in self.on_change:
                await callback()

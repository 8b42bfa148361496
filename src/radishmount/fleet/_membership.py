"""Membership: heartbeats to the neighbours, suspicion, and the spread of news."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Refusal
from radishmount.counters import Counters
from radishmount.fleet._backoff import Backoff
from radishmount.fleet._fleet import Fleet
from radishmount.fleet._messages import (
    Heartbeat,
    MemberState,
    MemberUpdate,
    Message,
    Ping,
    ProbeReply,
    ProbeRequest,
)
from radishmount.fleet._neighbours import neighbours_of
from radishmount.fleet._peers import Peers
from radishmount.fleet._session import PeerSession


__all__ = ["HeldVersions", "Membership", "OnHeartbeat"]

HEARTBEAT_INTERVAL_MS = 1_000.0
PING_AFTER_MS = 1_500.0
SILENCE_LIMIT_MS = 2_500.0
IDLE_STREAM_LIMIT_MS = 15_000.0
ACCEPT_WAIT_MS = 500.0
REOPEN_FIRST_MS = 200.0
REOPEN_LIMIT_MS = 5_000.0
INDIRECT_PROBES = 3
INDIRECT_PROBE_TIMEOUT_MS = 1_500.0
PROBE_TIMEOUT_MS = 700.0
RANDOM_PROBE_INTERVAL_MS = 10_000.0

OnHeartbeat = Callable[[str, Heartbeat], None]


@dataclass(frozen=True, slots=True)
class HeldVersions:
    """What this instance holds, for its heartbeats."""

    bundle_version: int
    bundle_digest: str
    list_version: int
    list_age_ms: float = 0.0


@dataclass(slots=True)
class Membership:
    """One task for each neighbour keeps a stream to it, sends heartbeats and suspects it."""

    fleet: Fleet
    peers: Peers
    clock: Clock
    random: Random
    audit: AuditTrail
    counters: Counters
    held_versions: Callable[[], HeldVersions]
    load: Callable[[], float] = lambda: 0.0
    on_heartbeat: list[OnHeartbeat] = field(default_factory=list)
    progress: asyncio.Event = field(default_factory=asyncio.Event)
    tasks_by_neighbour: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    news_by_name: dict[str, MemberUpdate] = field(default_factory=dict)
    flush_is_due: bool = False

    def start(self) -> None:
        """Take and answer what peers send."""
        self.peers.handle_notices(Heartbeat, self._take_heartbeat)
        self.peers.handle_requests(Ping, self._answer_ping)
        self.peers.handle_requests(ProbeRequest, self._answer_probe)
        self.peers.on_open.append(self._greet)
        self.fleet.members.on_update.append(self._take_news)

    def update_neighbours(self) -> None:
        """Keep streams to the neighbours of the newest list, and to no others."""
        listed = self.fleet.by_name
        wanted = neighbours_of(self.fleet.own_name, self.fleet.own_data_centre, listed.values())
        for name in set(self.tasks_by_neighbour) - set(wanted):
            self.tasks_by_neighbour.pop(name).cancel()
        for name in wanted:
            if name not in self.tasks_by_neighbour:
                task = asyncio.create_task(self._keep(name), name=f"neighbour {name}")
                self.tasks_by_neighbour[name] = task
        self.fleet.members.keep_only({*listed, *self.peers.sessions_by_name})

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every neighbour now, as when a version has come in force."""
        for session in self._neighbour_sessions():
            session.notify(self._heartbeat(()))

    def all_neighbours_tried(self) -> bool:
        """Tell whether each neighbour was heard, or could not be reached, since the start."""
        return self.tried.issuperset(self.tasks_by_neighbour)

    async def ping_neighbours(self) -> None:
        """Ask every neighbour for a heartbeat now, and take those that come."""
        await asyncio.gather(*(self._ask_heartbeat(name) for name in self.tasks_by_neighbour))

    async def stop(self) -> None:
        """End the task of each neighbour."""
        tasks = list(self.tasks_by_neighbour.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def probe_random_instances(self) -> None:
        """Ask an instance that is no neighbour now and then, whom the neighbours may have lost."""
        while True:
            await self.clock.sleep_ms(RANDOM_PROBE_INTERVAL_MS * self.random.uniform(0.5, 1.5))
            others = set(self.fleet.by_name) - {self.fleet.own_name, *self.tasks_by_neighbour}
            if not others:
                continue
            name = self.random.choice(sorted(others))
            outcome = await self.peers.request(name, Ping(), PROBE_TIMEOUT_MS)
            self.counters.add("random_probes", "failed" if outcome.is_err() else "answered")

    async def close_idle_streams(self) -> None:
        """Close streams to others than neighbours that nobody has used for a while."""
        while True:
            await self.clock.sleep_ms(IDLE_STREAM_LIMIT_MS / 3.0)
            now_ms = self.clock.now_ms()
            for name, session in list(self.peers.sessions_by_name.items()):
                used_at_ms = max(session.used_at_ms, session.heard_at_ms)
                if name in self.tasks_by_neighbour:
                    continue
                if now_ms - used_at_ms > IDLE_STREAM_LIMIT_MS:
                    await session.close()

    async def _keep(self, name: str) -> None:
        """Keep a stream to the neighbour `name`: open it, beat, and close it when it is silent."""
        backoff = Backoff(self.random, REOPEN_FIRST_MS, REOPEN_LIMIT_MS)
        while True:
            opened = await self._open(name)
            if isinstance(opened, Err):
                await self._check_silent(name)
                self._mark_tried(name)
                await self.clock.sleep_ms(backoff.next_ms())
                continue
            backoff.reset()
            await self._beat_until_end(opened.ok_value)
            # A peer that closes each stream as soon as it is open must not be redialled at once.
            await self.clock.sleep_ms(self.random.uniform(0.0, REOPEN_FIRST_MS))

    async def _open(self, name: str) -> Result[PeerSession, Refusal]:
        """Return the stream to `name`; of two that start together, the lower name opens it."""
        if self.fleet.own_name > name and name not in self.peers.sessions_by_name:
            await self.clock.sleep_ms(ACCEPT_WAIT_MS)
        return await self.peers.open(name)

    async def _beat_until_end(self, session: PeerSession) -> None:
        while not session.closed:
            with self.peers.cpu_meter.measure("heartbeat"):
                session.notify(self._heartbeat(()))
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_MS / 1000.0):
                    await session.ended.wait()
            except TimeoutError:
                pass
            quiet_ms = self.clock.now_ms() - session.heard_at_ms
            if PING_AFTER_MS < quiet_ms <= SILENCE_LIMIT_MS:
                # The peer may not have this instance on its list yet, and then it does not beat.
                await self._ask_heartbeat(session.peer.name)
                quiet_ms = self.clock.now_ms() - session.heard_at_ms
            if quiet_ms > SILENCE_LIMIT_MS:
                self.counters.add("peer_streams_silent")
                await session.close()

    async def _check_silent(self, name: str) -> None:
        """Suspect a neighbour that neither this instance nor those that it asks can reach."""
        state = self.fleet.members.state_of(name)
        if state in (MemberState.SUSPECTED, MemberState.LEAVING):
            return
        if await self._is_reached_by_others(name):
            self.counters.add("peers_reached_by_others_only")
            return
        incarnation = self.fleet.members.known_incarnation(name)
        self.fleet.members.suspect(name, incarnation)

    async def _is_reached_by_others(self, name: str) -> bool:
        helpers = [s.peer.name for s in self._neighbour_sessions() if s.peer.name != name]
        self.random.shuffle(helpers)
        asked = [
            self.peers.request(helper, ProbeRequest(name), INDIRECT_PROBE_TIMEOUT_MS)
            for helper in helpers[:INDIRECT_PROBES]
        ]
        for answer in await asyncio.gather(*asked):
            if isinstance(answer, Ok) and answer.ok_value.reachable:
                return True
        return False

    async def _answer_ping(self, name: str, message: Message) -> Result[Any, Refusal]:
        return Ok(self._heartbeat(()))

    async def _answer_probe(self, name: str, message: ProbeRequest) -> Result[Any, Refusal]:
        outcome = await self.peers.request(message.target, Ping(), PROBE_TIMEOUT_MS)
        return Ok(ProbeReply(outcome.is_ok()))

    async def _ask_heartbeat(self, name: str) -> None:
        answer = await self.peers.request(name, Ping(), PROBE_TIMEOUT_MS)
        session = self.peers.sessions_by_name.get(name)
        if isinstance(answer, Ok) and session is not None:
            self._take_heartbeat(session, answer.ok_value)

    def _mark_tried(self, name: str) -> None:
        self.tried.add(name)
        self.progress.set()

    def _greet(self, session: PeerSession) -> None:
        """Tell a peer that has just connected what differs from the usual."""
        session.notify(self._heartbeat(self.fleet.members.updates()))

    def _take_heartbeat(self, session: PeerSession, beat: Heartbeat) -> None:
        members = self.fleet.members
        peer = session.peer
        members.record_contact(peer, beat.load, self.clock.now_ms())
        own_word = MemberUpdate(peer.name, peer.incarnation, beat.sequence, beat.state)
        for update in (own_word, *beat.updates):
            if self._is_refuted_by_own_evidence(update):
                continue
            members.apply(update, f"told by {peer.name}")
        self._mark_tried(peer.name)
        for tell in self.on_heartbeat:
            tell(peer.name, beat)

    def _is_refuted_by_own_evidence(self, update: MemberUpdate) -> bool:
        """Tell whether a suspected instance spoke here just now; it is told, so that it refutes."""
        if update.state is not MemberState.SUSPECTED:
            return False
        session = self.peers.sessions_by_name.get(update.name)
        if session is None or session.peer.incarnation != update.incarnation:
            return False
        if self.clock.now_ms() - session.heard_at_ms > SILENCE_LIMIT_MS:
            return False
        session.notify(self._heartbeat((update,)))
        return True

    def _take_news(self, update: MemberUpdate, cause: str) -> None:
        """Record a change and send it on, together with others of this turn of the loop."""
        self.counters.add("member_updates", update.state)
        subject = f"instance/{update.name}"
        self.audit.record(subject, update.state, cause=cause, version=self.fleet.list_version)
        self.news_by_name[update.name] = update
        if not self.flush_is_due:
            self.flush_is_due = True
            asyncio.get_running_loop().call_soon(self._send_news)

    def _send_news(self) -> None:
        self.flush_is_due = False
        news = tuple(self.news_by_name.values())
        self.news_by_name.clear()
        for session in self._neighbour_sessions():
            session.notify(self._heartbeat(news))

    def _neighbour_sessions(self) -> list[PeerSession]:
        found = []
        for name in self.tasks_by_neighbour:
            session = self.peers.sessions_by_name.get(name)
            if session is not None and not session.closed:
                found.append(session)
        return found

    def _heartbeat(self, updates: tuple[MemberUpdate, ...]) -> Heartbeat:
        own = self.fleet.members.own
        held = self.held_versions()
        return Heartbeat(
            sequence=own.sequence,
            state=own.state,
            load=self.load(),
            bundle_version=held.bundle_version,
            bundle_digest=held.bundle_digest,
            list_version=held.list_version,
            list_age_ms=held.list_age_ms,
            updates=updates,
        )

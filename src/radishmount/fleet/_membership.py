"""Membership: heartbeats to neighbours, failure detection and gossip of member updates."""

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
from radishmount.fleet._held_versions import HeldVersions
from radishmount.fleet._messages import (
    Heartbeat,
    MemberState,
    MemberUpdate,
    Message,
    Ping,
    ProbeReply,
    ProbeRequest,
)
from radishmount.fleet._neighbours import NEIGHBOUR_LIMIT, neighbours_of
from radishmount.fleet._peers import Peers
from radishmount.fleet._session import PeerSession


__all__ = ["Membership", "OnHeartbeat"]

HEARTBEAT_INTERVAL_MS = 1_000.0
PING_AFTER_MS = 1_500.0
SILENCE_TIMEOUT_MS = 2_500.0
MIN_WAIT_MS = 1.0  # a timer may fire slightly early
IDLE_STREAM_TIMEOUT_MS = 15_000.0
ACCEPT_WAIT_MS = 500.0
REOPEN_INITIAL_MS = 200.0
REOPEN_MAX_MS = 5_000.0
INDIRECT_PROBES = 3
INDIRECT_PROBE_TIMEOUT_MS = 1_500.0
PROBE_TIMEOUT_MS = 700.0
RANDOM_PROBE_INTERVAL_MS = 10_000.0
NEIGHBOUR_UPDATE_DELAY_MS = 250.0  # many instances may be lost within a second
FORWARD_DELAY_MS = 50.0  # adds a fifth of a second on the longest path through a large fleet

OnHeartbeat = Callable[[str, Heartbeat], None]


@dataclass(slots=True)
class Membership:
    """Keeps a stream to each neighbour, sends heartbeats and suspects silent neighbours.

    One task for each neighbour does this. Member updates that are new here are sent on to all
    neighbours but those that sent them: at once where they are about this instance, otherwise
    after `FORWARD_DELAY_MS`, together with all that have come meanwhile. `sender` is the neighbour
    whose heartbeat is being handled. `has_added_neighbours` is set while suspected instances are
    bridged by further neighbours. `on_heartbeat` is called with each heartbeat and the name of
    its sender. The start of the instance waits on the event `progress`, which is set when a
    neighbour has answered or could not be reached, and by the control plane when a new version or
    list was applied.
    """

    fleet: Fleet
    peers: Peers
    clock: Clock
    random: Random
    audit: AuditTrail
    counters: Counters
    held_versions: Callable[[], HeldVersions]
    current_load: Callable[[], float] = lambda: 0.0
    on_heartbeat: list[OnHeartbeat] = field(default_factory=list)
    progress: asyncio.Event = field(default_factory=asyncio.Event)
    tasks_by_neighbour: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    tried_neighbours: set[str] = field(default_factory=set)
    pending_updates_by_name: dict[str, MemberUpdate] = field(default_factory=dict)
    senders_by_pending_name: dict[str, set[str]] = field(default_factory=dict)
    sender: str = ""
    flush_timer: asyncio.TimerHandle | None = None
    neighbour_timer: asyncio.TimerHandle | None = None
    has_added_neighbours: bool = False

    def start(self) -> None:
        """Register the handlers of heartbeats, pings and probes."""
        self.peers.handle_notices(Heartbeat, self._handle_heartbeat)
        self.peers.handle_requests(Ping, self._handle_ping)
        self.peers.handle_requests(ProbeRequest, self._handle_probe)
        self.peers.on_open.append(self._send_all_updates)
        self.fleet.members.on_update.append(self._queue_update)

    def update_neighbours(self) -> None:
        """Start and stop neighbour tasks to match the current instance list.

        Neighbours among the instances that are not suspected are added to those among all listed
        ones. Without them, nobody would notice the loss of an instance whose neighbours are lost
        too. What is known of instances that are neither listed nor connected is dropped.
        """
        listed = self.fleet.by_name
        state_of = self.fleet.members.state_of
        alive = [i for n, i in listed.items() if state_of(n) is not MemberState.SUSPECTED]
        own_name, own_data_centre = self.fleet.own_name, self.fleet.own_data_centre
        wanted = set(neighbours_of(own_name, own_data_centre, listed.values()))
        self.has_added_neighbours = len(alive) < len(listed) > NEIGHBOUR_LIMIT + 1
        if self.has_added_neighbours:
            wanted.update(neighbours_of(own_name, own_data_centre, alive))
        for name in set(self.tasks_by_neighbour) - wanted:
            self.tasks_by_neighbour.pop(name).cancel()
        for name in sorted(wanted):
            if name not in self.tasks_by_neighbour:
                task = asyncio.create_task(self._maintain_stream(name), name=f"neighbour {name}")
                self.tasks_by_neighbour[name] = task
        self.fleet.members.keep_only({*listed, *self.peers.sessions_by_name})

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every neighbour now, for example when a version comes into force."""
        for session in self._neighbour_sessions():
            session.notify(self._make_heartbeat(()))

    def all_neighbours_tried(self) -> bool:
        """Return whether each neighbour, since the start, sent a heartbeat or was not reached."""
        return self.tried_neighbours.issuperset(self.tasks_by_neighbour)

    async def ping_neighbours(self) -> None:
        """Request a heartbeat from every neighbour now, and handle the answers."""
        await asyncio.gather(*(self._ping(name) for name in self.tasks_by_neighbour))

    async def stop(self) -> None:
        """Cancel the task of each neighbour."""
        for timer in (self.flush_timer, self.neighbour_timer):
            if timer is not None:
                timer.cancel()
        tasks = list(self.tasks_by_neighbour.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def probe_random_instances(self) -> None:
        """Ping a random instance now and then that is no neighbour.

        The stream to it restores contact if its own neighbours have lost it. One that does not
        answer is suspected like a neighbour.
        """
        while True:
            await self.clock.sleep_ms(RANDOM_PROBE_INTERVAL_MS * self.random.uniform(0.5, 1.5))
            others = set(self.fleet.by_name) - {self.fleet.own_name, *self.tasks_by_neighbour}
            if not others:
                continue
            name = self.random.choice(sorted(others))
            outcome = await self.peers.request(name, Ping(), PROBE_TIMEOUT_MS)
            self.counters.add("random_probes", "failed" if outcome.is_err() else "answered")
            if outcome.is_err():
                await self._suspect_unless_reachable(name)

    async def close_idle_streams(self) -> None:
        """Close streams to instances that are no neighbours once they are idle."""
        while True:
            await self.clock.sleep_ms(IDLE_STREAM_TIMEOUT_MS / 3.0)
            now_ms = self.clock.now_ms()
            for name, session in list(self.peers.sessions_by_name.items()):
                used_at_ms = max(session.last_used_at_ms, session.last_received_at_ms)
                if name in self.tasks_by_neighbour:
                    continue
                if now_ms - used_at_ms > IDLE_STREAM_TIMEOUT_MS:
                    await session.close()

    async def _maintain_stream(self, name: str) -> None:
        """Keep a stream to the neighbour `name` open, send heartbeats, and close it if silent."""
        backoff = Backoff(self.random, REOPEN_INITIAL_MS, REOPEN_MAX_MS)
        is_silent = False
        while True:
            if is_silent:
                opened = await self._reopen_or_suspect(name)
            else:
                opened = await self._open_or_suspect(name)
            if isinstance(opened, Err):
                is_silent = False
                self._mark_tried(name)
                await self.clock.sleep_ms(backoff.next_ms())
                continue
            backoff.reset()
            session = opened.ok_value
            await self._send_heartbeats_until_closed(session)
            is_silent = self.clock.now_ms() - session.last_received_at_ms >= PING_AFTER_MS
            if not is_silent:
                # A peer that closes each new stream would otherwise be redialled in a busy loop.
                await self.clock.sleep_ms(self.random.uniform(0.0, REOPEN_INITIAL_MS))

    async def _open_or_suspect(self, name: str) -> Result[PeerSession, Refusal]:
        """Return a stream to `name`; if there is none, suspect it unless others reach it."""
        opened = await self._open(name)
        if isinstance(opened, Err):
            await self._suspect_unless_reachable(name)
        return opened

    async def _reopen_or_suspect(self, name: str) -> Result[PeerSession, Refusal]:
        """Open a new stream to an instance that fell silent, and ask others about it meanwhile.

        Callers are sent to it until it is suspected, so the two time-outs do not add up.
        """
        suspicion = asyncio.create_task(self._suspect_unless_reachable(name))
        try:
            opened = await self.peers.open(name)
            if isinstance(opened, Err):
                await suspicion
            return opened
        finally:
            suspicion.cancel()

    async def _open(self, name: str) -> Result[PeerSession, Refusal]:
        """Return the stream to `name`.

        Of two neighbours, the one with the lower name opens the stream at once; the other first
        waits `ACCEPT_WAIT_MS` for it, so that not both open one at the same time.
        """
        if self.fleet.own_name > name and name not in self.peers.sessions_by_name:
            await self.clock.sleep_ms(ACCEPT_WAIT_MS)
        return await self.peers.open(name)

    async def _send_heartbeats_until_closed(self, session: PeerSession) -> None:
        """Send a heartbeat in each interval, and ping the peer as soon as it is quiet for long."""
        heartbeat_at_ms = self.clock.now_ms()
        while not session.closed:
            now_ms = self.clock.now_ms()
            if now_ms >= heartbeat_at_ms:
                heartbeat_at_ms = now_ms + HEARTBEAT_INTERVAL_MS
                with self.peers.cpu_meter.measure("heartbeat"):
                    session.notify(self._make_heartbeat(()))
            quiet_ms = now_ms - session.last_received_at_ms
            if PING_AFTER_MS <= quiet_ms <= SILENCE_TIMEOUT_MS:
                # A peer that does not list this instance yet sends it no heartbeats.
                await self._ping(session.peer.name)
            elif quiet_ms > SILENCE_TIMEOUT_MS:
                self.counters.add("peer_streams_silent")
                await session.close()
            if session.closed:
                return
            now_ms = self.clock.now_ms()
            ping_at_ms = session.last_received_at_ms + PING_AFTER_MS
            wait_ms = max(MIN_WAIT_MS, min(heartbeat_at_ms, ping_at_ms) - now_ms)
            try:
                async with asyncio.timeout(wait_ms / 1000.0):
                    await session.ended.wait()
            except TimeoutError:
                pass

    async def _suspect_unless_reachable(self, name: str) -> None:
        """Suspect a neighbour that neither this instance nor any of its helpers can reach."""
        state = self.fleet.members.state_of(name)
        if state in (MemberState.SUSPECTED, MemberState.LEAVING):
            return
        if await self._is_reached_by_others(name):
            self.counters.add("peers_reached_by_others_only")
            return
        incarnation = self.fleet.members.known_incarnation(name)
        self.fleet.members.suspect(name, incarnation)

    async def _is_reached_by_others(self, name: str) -> bool:
        now_ms = self.clock.now_ms()
        # A helper that is silent itself would only delay the suspicion.
        helpers = [
            session.peer.name
            for session in self._neighbour_sessions()
            if session.peer.name != name and now_ms - session.last_received_at_ms < PING_AFTER_MS
        ]
        self.random.shuffle(helpers)
        asked = [
            self.peers.request(helper, ProbeRequest(name), INDIRECT_PROBE_TIMEOUT_MS)
            for helper in helpers[:INDIRECT_PROBES]
        ]
        for answer in await asyncio.gather(*asked):
            if isinstance(answer, Ok) and answer.ok_value.reachable:
                return True
        return False

    async def _handle_ping(self, name: str, message: Message) -> Result[Any, Refusal]:
        return Ok(self._make_heartbeat(()))

    async def _handle_probe(self, name: str, message: ProbeRequest) -> Result[Any, Refusal]:
        outcome = await self.peers.request(message.target, Ping(), PROBE_TIMEOUT_MS)
        return Ok(ProbeReply(outcome.is_ok()))

    async def _ping(self, name: str) -> None:
        answer = await self.peers.request(name, Ping(), PROBE_TIMEOUT_MS)
        session = self.peers.sessions_by_name.get(name)
        if isinstance(answer, Ok) and session is not None:
            self._handle_heartbeat(session, answer.ok_value)

    def _mark_tried(self, name: str) -> None:
        self.tried_neighbours.add(name)
        self.progress.set()

    def _send_all_updates(self, session: PeerSession) -> None:
        """Send a newly connected peer this instance's state and those of all that are not live."""
        session.notify(self._make_heartbeat(self.fleet.members.updates()))

    def _handle_heartbeat(self, session: PeerSession, heartbeat: Heartbeat) -> None:
        members = self.fleet.members
        peer = session.peer
        own_update = MemberUpdate(peer.name, peer.incarnation, heartbeat.sequence, heartbeat.state)
        self.sender = peer.name
        members.record_contact(peer, heartbeat.load, self.clock.now_ms())
        for update in (own_update, *heartbeat.updates):
            if self.pending_updates_by_name.get(update.name) == update:
                self.senders_by_pending_name[update.name].add(peer.name)
            if self._is_refuted_by_recent_contact(update):
                continue
            members.apply(update, f"told by {peer.name}")
        self.sender = ""
        self._mark_tried(peer.name)
        for callback in self.on_heartbeat:
            callback(peer.name, heartbeat)

    def _is_refuted_by_recent_contact(self, update: MemberUpdate) -> bool:
        """Return whether `update` suspects an instance that has sent a frame here just now.

        If so, the suspicion is forwarded to that instance, which refutes it for the whole fleet.
        """
        if update.state is not MemberState.SUSPECTED:
            return False
        session = self.peers.sessions_by_name.get(update.name)
        if session is None or session.peer.incarnation != update.incarnation:
            return False
        if self.clock.now_ms() - session.last_received_at_ms > SILENCE_TIMEOUT_MS:
            return False
        session.notify(self._make_heartbeat((update,)))
        return True

    def _queue_update(self, update: MemberUpdate, cause: str) -> None:
        """Record an update, and schedule when it is sent to the neighbours with all pending ones.

        In a large fleet the same update comes from several neighbours within milliseconds. During
        `FORWARD_DELAY_MS` they are noted as senders, and need not be told.
        """
        self.counters.add("member_updates", update.state)
        if update.state is MemberState.SUSPECTED or self.has_added_neighbours:
            self._update_neighbours_later()
        subject = f"instance/{update.name}"
        self.audit.record(subject, update.state, cause=cause, version=self.fleet.list_version)
        self.pending_updates_by_name[update.name] = update
        self.senders_by_pending_name[update.name] = {self.sender}
        loop = asyncio.get_running_loop()
        if update.name == self.fleet.own_name and self.flush_timer is not None:
            self.flush_timer.cancel()
            self.flush_timer = None
        if self.flush_timer is None:
            delay_ms = 0.0 if update.name == self.fleet.own_name else FORWARD_DELAY_MS
            self.flush_timer = loop.call_later(delay_ms / 1000.0, self._send_pending_updates)

    def _update_neighbours_later(self) -> None:
        """Schedule an update of the neighbours after a change of the state of an instance."""
        if self.neighbour_timer is not None or len(self.fleet.by_name) <= NEIGHBOUR_LIMIT + 1:
            return

        def update() -> None:
            self.neighbour_timer = None
            self.update_neighbours()

        loop = asyncio.get_running_loop()
        delay_s = NEIGHBOUR_UPDATE_DELAY_MS / 1000.0
        self.neighbour_timer = loop.call_later(delay_s, update)

    def _send_pending_updates(self) -> None:
        self.flush_timer = None
        pending, self.pending_updates_by_name = self.pending_updates_by_name, {}
        senders, self.senders_by_pending_name = self.senders_by_pending_name, {}
        for session in self._neighbour_sessions():
            name = session.peer.name
            updates = tuple(u for u in pending.values() if name not in senders[u.name])
            if updates:
                session.notify(self._make_heartbeat(updates))

    def _neighbour_sessions(self) -> list[PeerSession]:
        found = []
        for name in self.tasks_by_neighbour:
            session = self.peers.sessions_by_name.get(name)
            if session is not None and not session.closed:
                found.append(session)
        return found

    def _make_heartbeat(self, updates: tuple[MemberUpdate, ...]) -> Heartbeat:
        own = self.fleet.members.own
        held = self.held_versions()
        return Heartbeat(
            sequence=own.sequence,
            state=own.state,
            load=self.current_load(),
            bundle_version=held.bundle_version,
            bundle_digest=held.bundle_digest,
            list_version=held.list_version,
            list_age_ms=held.list_age_ms,
            list_digest=held.list_digest,
            updates=updates,
        )

"""Gossip of slow endpoints, so that all instances know of what one has observed."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from result import Ok

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.fleet._messages import PaceNews
from radishmount.fleet._peers import Peers
from radishmount.fleet._session import PeerSession


__all__ = ["SlowEndpointHint", "SlowEndpointGossip"]

CHECK_INTERVAL_MS = 100.0  # a fraction of the usual timeout of callers
REANNOUNCE_INTERVAL_MS = 2_000.0  # about half of the time after which a hint expires
CONFIRM_MIN_SPAN_MS = 300.0  # longer than the usual pause of an endpoint
CONFIRM_MAX_GAP_MS = 2_000.0  # less than the usual time between two pauses
# A frame to each costs less than one on every stream of a large fleet. Above this, the open streams
# between all preferred instances would cost more than the frames save.
MAX_DIRECT_RECIPIENTS = 64
MAX_ENDPOINTS_PER_FRAME = 200  # far below the size limit of a frame

LatenciesByEndpoint = Mapping[str, float]
"""Expected latencies in milliseconds, by the name of the endpoint."""


@dataclass(frozen=True, slots=True)
class SlowEndpointHint:
    """The expected latency of an endpoint in milliseconds, and when it was last observed."""

    endpoint: str
    latency_ms: float
    seen_at_ms: float


@dataclass(slots=True)
class Observations:
    """When an endpoint was seen to be slow, here or by a neighbour, by this instance's clock."""

    first_at_ms: float
    last_at_ms: float

    def add(self, at_ms: float) -> bool:
        """Add one; return whether they span more time than a usual pause of an endpoint."""
        if at_ms - self.last_at_ms > CONFIRM_MAX_GAP_MS:
            self.first_at_ms = at_ms
        self.last_at_ms = max(self.last_at_ms, at_ms)
        return self.last_at_ms - self.first_at_ms >= CONFIRM_MIN_SPAN_MS


@dataclass(slots=True)
class SlowEndpointGossip:
    """Announces slow endpoints to peers, and calls `on_hints` with what peers announce.

    Only preferred instances, those that callers are sent to, need to know. Up to
    `max_direct_recipients` of them, each sends its announcements to the others directly. If there
    are more, announcements are passed on from neighbour to neighbour, which costs a frame on every
    stream of the fleet. Therefore they are sent only once an endpoint was observed to be slow
    twice, here or by neighbours, with more time in between than a usual pause of an endpoint.
    Messages are numbered by their origin, and one that was received before is not passed on.
    """

    peers: Peers
    clock: Clock
    counters: Counters
    find_slow: Callable[[], Iterable[SlowEndpointHint]]
    on_hints: Callable[[LatenciesByEndpoint], None]
    preferred_names: Callable[[], Collection[str]]
    max_direct_recipients: int = MAX_DIRECT_RECIPIENTS
    last_number: int = 0
    announced_at_ms_by_endpoint: dict[str, float] = field(default_factory=dict)
    last_number_by_origin: dict[str, int] = field(default_factory=dict)
    observations_by_endpoint: dict[str, Observations] = field(default_factory=dict)
    own_observation_at_ms_by_endpoint: dict[str, float] = field(default_factory=dict)
    send_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def start(self) -> None:
        """Handle the announcements of peers."""
        self.peers.handle_notices(PaceNews, self._handle_notice)

    async def run(self) -> None:
        """Check for slow endpoints for as long as the instance runs."""
        while True:
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
            self._check()

    def _check(self) -> None:
        now_ms = self.clock.now_ms()
        confirmed: dict[str, float] = {}
        unconfirmed: dict[str, float] = {}
        for hint in self.find_slow():
            if self._was_announced(hint.endpoint, now_ms):
                continue
            if self._sends_directly():
                confirmed[hint.endpoint] = hint.latency_ms
            elif self._is_new_observation(hint):
                is_confirmed = self._add_observation(hint.endpoint, hint.seen_at_ms)
                (confirmed if is_confirmed else unconfirmed)[hint.endpoint] = hint.latency_ms
        self._announce(confirmed, now_ms)
        self._ask_neighbours(unconfirmed)
        self._expire(now_ms)

    def _announce(self, latency_ms_by_endpoint: LatenciesByEndpoint, now_ms: float) -> None:
        """Announce slow endpoints to all instances that need to know."""
        for part in _frames_of(latency_ms_by_endpoint):
            for name in part:
                self.announced_at_ms_by_endpoint[name] = now_ms
            message = self._make_message(part, is_confirmed=True)
            if self._sends_directly():
                self._send_to_preferred(message)
            else:
                self._send(message, self.peers.sessions_by_name)

    def _ask_neighbours(self, latency_ms_by_endpoint: LatenciesByEndpoint) -> None:
        """Send neighbours what may be a short pause; a neighbour that observes it announces it."""
        for part in _frames_of(latency_ms_by_endpoint):
            self._send(self._make_message(part, is_confirmed=False), self.peers.sessions_by_name)

    def _make_message(
        self, latency_ms_by_endpoint: LatenciesByEndpoint, *, is_confirmed: bool
    ) -> PaceNews:
        # Numbers begin at the incarnation, above those of earlier starts of this instance.
        incarnation = self.peers.fleet.members.own.incarnation
        self.last_number = max(self.last_number + 1, incarnation)
        names = tuple(latency_ms_by_endpoint)
        rounded = tuple(round(latency_ms_by_endpoint[name]) for name in names)
        return PaceNews(self.peers.fleet.own_name, self.last_number, names, rounded, is_confirmed)

    def _handle_notice(self, session: PeerSession, message: PaceNews) -> None:
        if message.origin == self.peers.fleet.own_name:
            return
        if message.number <= self.last_number_by_origin.get(message.origin, -1):
            return
        self.last_number_by_origin[message.origin] = message.number
        self.counters.add("pace_news", "in")
        now_ms = self.clock.now_ms()
        latency_ms_by_endpoint = {
            n: float(ms) for n, ms in zip(message.endpoints, message.paces, strict=True)
        }
        if not message.is_confirmed:
            self._handle_unconfirmed(latency_ms_by_endpoint, now_ms)
            return
        # The other instances receive the same announcement, so this one does not repeat it.
        for name in latency_ms_by_endpoint:
            self.announced_at_ms_by_endpoint[name] = now_ms
        self.on_hints(latency_ms_by_endpoint)
        if not self._sends_directly():
            others = [name for name in self.peers.sessions_by_name if name != session.peer.name]
            self._send(message, others)

    def _handle_unconfirmed(
        self, latency_ms_by_endpoint: LatenciesByEndpoint, now_ms: float
    ) -> None:
        confirmed = {
            name: latency_ms
            for name, latency_ms in latency_ms_by_endpoint.items()
            if self._add_observation(name, now_ms) and not self._was_announced(name, now_ms)
        }
        if confirmed:
            self.on_hints(confirmed)
            self._announce(confirmed, now_ms)

    def _is_new_observation(self, hint: SlowEndpointHint) -> bool:
        """Return whether a hint rests on an observation made well after the last one here."""
        last_ms = self.own_observation_at_ms_by_endpoint.get(hint.endpoint)
        if last_ms is not None and hint.seen_at_ms - last_ms < CONFIRM_MIN_SPAN_MS:
            return False
        self.own_observation_at_ms_by_endpoint[hint.endpoint] = hint.seen_at_ms
        return True

    def _add_observation(self, endpoint: str, at_ms: float) -> bool:
        """Add an observation that an endpoint is slow; return whether this confirms it."""
        observations = self.observations_by_endpoint.get(endpoint)
        if observations is None:
            self.observations_by_endpoint[endpoint] = Observations(at_ms, at_ms)
            return False
        return observations.add(at_ms)

    def _was_announced(self, endpoint: str, now_ms: float) -> bool:
        announced_at_ms = self.announced_at_ms_by_endpoint.get(endpoint)
        return announced_at_ms is not None and now_ms - announced_at_ms < REANNOUNCE_INTERVAL_MS

    def _expire(self, now_ms: float) -> None:
        """Drop times and observations that are too old to matter."""
        limit_ms = now_ms - 2 * REANNOUNCE_INTERVAL_MS
        for times_ms in (self.announced_at_ms_by_endpoint, self.own_observation_at_ms_by_endpoint):
            for name in [name for name, at_ms in times_ms.items() if at_ms < limit_ms]:
                del times_ms[name]
        observations = self.observations_by_endpoint
        for name in [name for name, seen in observations.items() if seen.last_at_ms < limit_ms]:
            del observations[name]

    def _sends_directly(self) -> bool:
        return len(self.preferred_names()) <= self.max_direct_recipients

    def _send_to_preferred(self, message: PaceNews) -> None:
        """Send to each other preferred instance, over a new stream where none is open."""
        for name in self.preferred_names():
            if name == self.peers.fleet.own_name:
                continue
            if name in self.peers.sessions_by_name:
                self._send(message, [name])
                continue
            if name in self.peers.opening_by_name:
                continue  # outdated messages must not queue up for one that does not answer
            task = asyncio.create_task(
                self._open_and_send(message, name), name="announce slow endpoints"
            )
            self.send_tasks.add(task)
            task.add_done_callback(self.send_tasks.discard)

    async def _open_and_send(self, message: PaceNews, name: str) -> None:
        opened = await self.peers.open(name)
        if isinstance(opened, Ok):
            self._send(message, [name])

    def _send(self, message: PaceNews, names: Iterable[str]) -> None:
        for name in list(names):
            session = self.peers.sessions_by_name.get(name)
            if session is not None and session.notify(message):
                self.counters.add("pace_news", "out")


def _frames_of(latency_ms_by_endpoint: LatenciesByEndpoint) -> Iterable[LatenciesByEndpoint]:
    """Yield the endpoints in parts that fit into a frame each."""
    names = list(latency_ms_by_endpoint)
    for first in range(0, len(names), MAX_ENDPOINTS_PER_FRAME):
        part = names[first : first + MAX_ENDPOINTS_PER_FRAME]
        yield {name: latency_ms_by_endpoint[name] for name in part}

"""The spread of which endpoints are slow: what one instance finds out, all know."""

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

LOOK_INTERVAL_MS = 100.0  # a fraction of the time in which a caller gives up
TELL_AGAIN_MS = 2_000.0  # an endpoint that stays slow; what is told fades in about twice that
CONFIRMING_APART_MS = 300.0  # longer than an endpoint usually pauses
CONFIRMING_WITHIN_MS = 2_000.0  # less than the time between two pauses
FEW_CARRIERS = 17  # a frame to each of these costs less than one on each stream of a large fleet
MOST_TOLD = 200  # in one frame, far below its limit of bytes

Paces = Mapping[str, float]
"""Latencies to expect in milliseconds, by name of the endpoint."""


@dataclass(frozen=True, slots=True)
class SlowEndpointHint:
    """An endpoint and the latency to expect of it, in milliseconds, by what was seen when."""

    endpoint: str
    latency_ms: float
    seen_at_ms: float


@dataclass(slots=True)
class Sightings:
    """When an endpoint was seen slow, here or by a neighbour, by the clock of this instance."""

    first_at_ms: float
    last_at_ms: float

    def add(self, at_ms: float) -> bool:
        """Add one; tell whether they lie further apart than a pause lasts."""
        if at_ms - self.last_at_ms > CONFIRMING_WITHIN_MS:
            self.first_at_ms = at_ms
        self.last_at_ms = max(self.last_at_ms, at_ms)
        return self.last_at_ms - self.first_at_ms >= CONFIRMING_APART_MS


@dataclass(slots=True)
class SlowEndpointGossip:
    """Tells peers which endpoints this instance found slow, and takes the same from them.

    Only the instances that carry requests need to know. Where these are few, each tells the others
    directly. Where they are many, news travel on from neighbour to neighbour, a frame for each
    stream of the fleet. So they are sent only when an endpoint was seen slow twice, here or by
    neighbours, with more time in between than an endpoint usually pauses. `number` grows with what
    an instance tells, and news that were seen are not sent on.
    """

    peers: Peers
    clock: Clock
    counters: Counters
    find_slow: Callable[[], Iterable[SlowEndpointHint]]
    on_hints: Callable[[Paces], None]
    preferred_names: Callable[[], Collection[str]]
    number: int = 0
    told_at_ms_by_endpoint: dict[str, float] = field(default_factory=dict)
    seen_by_origin: dict[str, int] = field(default_factory=dict)
    sightings_by_endpoint: dict[str, Sightings] = field(default_factory=dict)
    own_sighting_ms_by_endpoint: dict[str, float] = field(default_factory=dict)
    opening: set[asyncio.Task[None]] = field(default_factory=set)

    def start(self) -> None:
        """Take what peers tell."""
        self.peers.handle_notices(PaceNews, self._take)

    async def run(self) -> None:
        """Look for slow endpoints for as long as the instance runs."""
        while True:
            await self.clock.sleep_ms(LOOK_INTERVAL_MS)
            self._look()

    def _look(self) -> None:
        now_ms = self.clock.now_ms()
        paces: dict[str, float] = {}
        doubted: dict[str, float] = {}
        for hint in self.find_slow():
            if self._was_told(hint.endpoint, now_ms):
                continue
            if self._are_few():
                paces[hint.endpoint] = hint.latency_ms
            elif self._is_new_sighting(hint):
                is_confirmed = self._confirms(hint.endpoint, hint.seen_at_ms)
                (paces if is_confirmed else doubted)[hint.endpoint] = hint.latency_ms
        self._tell(paces, now_ms)
        self._ask(doubted)
        self._forget(now_ms)

    def _tell(self, paces: Paces, now_ms: float) -> None:
        """Tell the whole fleet."""
        if not paces:
            return
        for name in paces:
            self.told_at_ms_by_endpoint[name] = now_ms
        news = self._news(paces, is_confirmed=True)
        if self._are_few():
            self._send_to_carriers(news)
        else:
            self._send(news, self.peers.sessions_by_name)

    def _ask(self, paces: Paces) -> None:
        """Tell the neighbours what may be a pause; they tell all if they see it too."""
        if paces:
            self._send(self._news(paces, is_confirmed=False), self.peers.sessions_by_name)

    def _news(self, paces: Paces, *, is_confirmed: bool) -> PaceNews:
        incarnation = self.peers.fleet.members.own.incarnation  # above all that was told before
        self.number = max(self.number + 1, incarnation)
        names = tuple(paces)[:MOST_TOLD]
        rounded = tuple(round(paces[name]) for name in names)
        return PaceNews(self.peers.fleet.own_name, self.number, names, rounded, is_confirmed)

    def _take(self, session: PeerSession, news: PaceNews) -> None:
        if news.origin == self.peers.fleet.own_name:
            return
        if news.number <= self.seen_by_origin.get(news.origin, -1):
            return
        self.seen_by_origin[news.origin] = news.number
        self.counters.add("pace_news", "in")
        now_ms = self.clock.now_ms()
        paces = {n: float(pace) for n, pace in zip(news.endpoints, news.paces, strict=True)}
        if not news.is_confirmed:
            self._take_doubts(paces, now_ms)
            return
        for name in paces:
            self.told_at_ms_by_endpoint[name] = now_ms  # all know it by now
        self.on_hints(paces)
        if not self._are_few():
            others = [name for name in self.peers.sessions_by_name if name != session.peer.name]
            self._send(news, others)

    def _take_doubts(self, paces: Paces, now_ms: float) -> None:
        confirmed = {
            name: pace_ms
            for name, pace_ms in paces.items()
            if self._confirms(name, now_ms) and not self._was_told(name, now_ms)
        }
        if confirmed:
            self.on_hints(confirmed)
            self._tell(confirmed, now_ms)

    def _is_new_sighting(self, hint: SlowEndpointHint) -> bool:
        """Tell whether a hint rests on more than what was seen before, or on what goes on."""
        last_ms = self.own_sighting_ms_by_endpoint.get(hint.endpoint)
        if last_ms is not None and hint.seen_at_ms - last_ms < CONFIRMING_APART_MS:
            return False
        self.own_sighting_ms_by_endpoint[hint.endpoint] = hint.seen_at_ms
        return True

    def _confirms(self, endpoint: str, at_ms: float) -> bool:
        """Note that an endpoint was seen slow; tell whether that goes on for too long."""
        sightings = self.sightings_by_endpoint.get(endpoint)
        if sightings is None:
            self.sightings_by_endpoint[endpoint] = Sightings(at_ms, at_ms)
            return False
        return sightings.add(at_ms)

    def _was_told(self, endpoint: str, now_ms: float) -> bool:
        told_at_ms = self.told_at_ms_by_endpoint.get(endpoint)
        return told_at_ms is not None and now_ms - told_at_ms < TELL_AGAIN_MS

    def _forget(self, now_ms: float) -> None:
        """Forget what is too old to matter."""
        limit_ms = now_ms - 2 * TELL_AGAIN_MS
        for times_ms in (self.told_at_ms_by_endpoint, self.own_sighting_ms_by_endpoint):
            for name in [name for name, at_ms in times_ms.items() if at_ms < limit_ms]:
                del times_ms[name]
        sightings = self.sightings_by_endpoint
        for name in [name for name, seen in sightings.items() if seen.last_at_ms < limit_ms]:
            del sightings[name]

    def _are_few(self) -> bool:
        return len(self.preferred_names()) <= FEW_CARRIERS

    def _send_to_carriers(self, news: PaceNews) -> None:
        """Tell each other carrier directly; streams to those that are no neighbours are opened."""
        for name in self.preferred_names():
            if name == self.peers.fleet.own_name:
                continue
            if name in self.peers.sessions_by_name:
                self._send(news, [name])
                continue
            if name in self.peers.opening_by_name:
                continue  # one that does not answer is not to collect news that grow old
            task = asyncio.create_task(self._open_and_send(news, name), name="tell a carrier")
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def _open_and_send(self, news: PaceNews, name: str) -> None:
        opened = await self.peers.open(name)
        if isinstance(opened, Ok):
            self._send(news, [name])

    def _send(self, news: PaceNews, names: Iterable[str]) -> None:
        for name in list(names):
            session = self.peers.sessions_by_name.get(name)
            if session is not None and session.notify(news):
                self.counters.add("pace_news", "out")

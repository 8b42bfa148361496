"""The spread of which endpoints are slow: what one instance finds out, all know."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from radishmount.clock import Clock
from radishmount.counters import Counters
from radishmount.fleet._messages import PaceNews
from radishmount.fleet._neighbours import NEIGHBOUR_LIMIT
from radishmount.fleet._peers import Peers
from radishmount.fleet._session import PeerSession


__all__ = ["PaceSpread"]

LOOK_INTERVAL_MS = 100.0  # a fraction of the time in which a caller gives up
TELL_AGAIN_MS = 2_000.0  # an endpoint that stays slow; what is told fades in about twice that
MOST_TOLD = 200  # in one frame, far below its limit of bytes

Paces = dict[str, float]
"""Latencies to expect in milliseconds, by name of the endpoint."""


@dataclass(slots=True)
class PaceSpread:
    """Tells peers which endpoints this instance found slow, and takes the same from them.

    Each change travels once through the fleet: `number` grows with what an instance tells, and
    news that were seen are not sent on. A small fleet is a full mesh, where nobody sends on.
    """

    peers: Peers
    clock: Clock
    counters: Counters
    find_slow: Callable[[], Paces]
    take_hints: Callable[[Paces], None]
    number: int = 0
    told_at_ms_by_endpoint: dict[str, float] = field(default_factory=dict)
    seen_by_origin: dict[str, int] = field(default_factory=dict)

    def start(self) -> None:
        """Take what peers tell."""
        self.peers.on_notice(PaceNews, self._take)

    async def run(self) -> None:
        """Look for slow endpoints for as long as the instance runs."""
        while True:
            await self.clock.sleep_ms(LOOK_INTERVAL_MS)
            self._tell_new(self.find_slow())

    def _tell_new(self, slow: Paces) -> None:
        now_ms = self.clock.now_ms()
        told_at_ms = self.told_at_ms_by_endpoint
        new = {
            name: pace_ms
            for name, pace_ms in slow.items()
            if now_ms - told_at_ms.get(name, -TELL_AGAIN_MS) >= TELL_AGAIN_MS
        }
        if not new:
            return
        for name in new:
            told_at_ms[name] = now_ms
        for name in [n for n, at_ms in told_at_ms.items() if now_ms - at_ms > 2 * TELL_AGAIN_MS]:
            del told_at_ms[name]
        incarnation = self.peers.fleet.members.own.incarnation  # above all that was told before
        self.number = max(self.number + 1, incarnation)
        names = tuple(new)[:MOST_TOLD]
        paces = tuple(round(new[name]) for name in names)
        self._send(
            PaceNews(self.peers.fleet.own_name, self.number, names, paces),
            self.peers.sessions_by_name,
        )

    def _take(self, session: PeerSession, news: PaceNews) -> None:
        if news.origin == self.peers.fleet.own_name:
            return
        if news.number <= self.seen_by_origin.get(news.origin, -1):
            return
        self.seen_by_origin[news.origin] = news.number
        self.counters.add("pace_news", "in")
        now_ms = self.clock.now_ms()
        for name in news.endpoints:
            self.told_at_ms_by_endpoint[name] = now_ms  # all know it by now
        self.take_hints(
            {name: float(pace) for name, pace in zip(news.endpoints, news.paces, strict=True)}
        )
        others = [name for name in self.peers.sessions_by_name if name != session.peer.name]
        if len(self.peers.fleet.by_name) > NEIGHBOUR_LIMIT + 1:
            self._send(news, others)

    def _send(self, news: PaceNews, names: Iterable[str]) -> None:
        for name in list(names):
            session = self.peers.sessions_by_name.get(name)
            if session is not None and session.notify(news):
                self.counters.add("pace_news", "out")

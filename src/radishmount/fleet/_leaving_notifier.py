"""The spread of what one instance learned of endpoints to the others that use them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from radishmount.counters import Counters
from radishmount.fleet._messages import EndpointChanges
from radishmount.fleet._peers import Peers
from radishmount.fleet._session import PeerSession


__all__ = ["LeavingNotifier"]


@dataclass(slots=True)
class LeavingNotifier:
    """Tells peers which endpoints said that they leave, and takes the same from peers.

    Only changes travel, only what an endpoint said to this instance itself, and only to the
    instances that may connect to it, which `peers_sharing` names. What a peer says is a hint that
    fades, so that a wrong one does no lasting harm.
    """

    peers: Peers
    counters: Counters
    users_of: Callable[[str], Iterable[str]]
    on_leaving_hint: Callable[[Iterable[str]], None]

    def start(self) -> None:
        """Take what peers tell."""
        self.peers.handle_notices(EndpointChanges, self._take)

    def notify_leaving(self, endpoint: str) -> None:
        """Tell the other users of `endpoint` that it leaves."""
        for name in self.users_of(endpoint):
            session = self.peers.sessions_by_name.get(name)
            if session is not None and session.notify(EndpointChanges(leaving=(endpoint,))):
                self.counters.add("endpoint_news", "out")

    def _take(self, session: PeerSession, changes: EndpointChanges) -> None:
        self.counters.add("endpoint_news", "in")
        self.on_leaving_hint(changes.leaving)

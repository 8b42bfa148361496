"""Notifies the other instances that use an endpoint when it starts to leave."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from radishmount.counters import Counters
from radishmount.fleet._messages import EndpointChanges
from radishmount.fleet._peers import Peers
from radishmount.fleet._session import PeerSession


__all__ = ["LeavingNotifier"]


@dataclass(slots=True)
class LeavingNotifier:
    """Notifies peers of endpoints that announced that they leave, and handles such notices.

    Only what an endpoint announced to this instance itself is sent, once, and only to the instances
    that may connect to it, which `peers_sharing` returns. `on_leaving_hint` is called with what a
    peer announced; it is a hint that expires, so that a wrong one does no lasting harm.
    """

    peers: Peers
    counters: Counters
    peers_sharing: Callable[[str], Iterable[str]]
    on_leaving_hint: Callable[[Iterable[str]], None]

    def start(self) -> None:
        """Handle the notices of peers."""
        self.peers.handle_notices(EndpointChanges, self._handle_notice)

    def notify_leaving(self, endpoint: str) -> None:
        """Notify the other instances that use `endpoint` that it is leaving."""
        for name in self.peers_sharing(endpoint):
            session = self.peers.sessions_by_name.get(name)
            if session is not None and session.notify(EndpointChanges(leaving=(endpoint,))):
                self.counters.add("endpoint_news", "out")

    def _handle_notice(self, session: PeerSession, changes: EndpointChanges) -> None:
        self.counters.add("endpoint_news", "in")
        self.on_leaving_hint(changes.leaving)

"""The links between the entries of a trial, one relay for each direction of each pair."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from radishmount.standins import Relay, link_delay, start_relay
from radishmount.trial import TrialPlan


__all__ = ["PeerLinks"]


@dataclass(slots=True)
class PeerLinks:
    """The relays by the names of their two ends, and the address that each entry listens on."""

    plan: TrialPlan
    relays_by_ends: dict[tuple[str, str], Relay] = field(default_factory=dict)
    addresses_by_name: dict[str, str] = field(default_factory=dict)
    routes_by_name: dict[str, dict[str, str]] = field(default_factory=dict)
    past_bytes: int = 0
    parted: frozenset[str] = frozenset()

    @property
    def carried_bytes(self) -> int:
        """Return how many bytes the entries have sent each other."""
        return self.past_bytes + sum(r.carried_bytes for r in self.relays_by_ends.values())

    def route_of(self, name: str) -> Callable[[str, str], str]:
        """Return the function that leads the streams of an entry over its relays."""
        routes = self.routes_by_name.setdefault(name, {})
        return lambda peer, address: routes.get(address, address)

    async def connect(self, name: str, address: str) -> None:
        """Lay links between the entry at `address` and all others."""
        for ends in [ends for ends in self.relays_by_ends if name in ends]:
            relay = self.relays_by_ends.pop(ends)
            self.past_bytes += relay.carried_bytes
            await relay.stop()
        self.addresses_by_name[name] = address
        for other, other_address in list(self.addresses_by_name.items()):
            if other == name:
                continue
            await self._lay(other, name, address)
            await self._lay(name, other, other_address)

    def cut(self, names: Iterable[str]) -> None:
        """Cut every link between `names` and the others."""
        self.parted = frozenset(names)
        for ends, relay in self.relays_by_ends.items():
            relay.is_cut = self._is_cut(ends)

    def heal(self) -> None:
        """Make every link whole."""
        self.cut(())

    async def stop(self) -> None:
        """Close every link."""
        for relay in self.relays_by_ends.values():
            await relay.stop()

    async def _lay(self, source: str, target: str, address: str) -> None:
        random = Random(f"{self.plan.seed}/link/{source}/{target}")
        delay = link_delay(self.plan.region.between_data_centres_ms, random)
        relay = await start_relay(address, delay)
        relay.is_cut = self._is_cut((source, target))
        self.relays_by_ends[source, target] = relay
        self.routes_by_name.setdefault(source, {})[address] = str(relay.address)

    def _is_cut(self, ends: tuple[str, str]) -> bool:
        return (ends[0] in self.parted) != (ends[1] in self.parted)

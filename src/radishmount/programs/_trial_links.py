"""The network between the entries of a trial: one relay for each direction of each pair."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from radishmount.standins import Relay, link_delay, start_relay
from radishmount.trial import TrialPlan


__all__ = ["PeerLinks"]


@dataclass(slots=True)
class PeerLinks:
    """Relays between entries, which delay the traffic between peers and can be cut.

    `relays_by_ends` is keyed by the names of the connecting entry and of the entry connected to.
    `addresses_by_name` has the address at which each entry listens for peers.
    `relay_addresses_by_source` maps, for each connecting entry, the address of a peer to that of
    the relay in front of it. `closed_relays_bytes` is what relays that were since closed carried.
    `partitioned` names the entries whose links to every entry outside this set are cut.
    """

    plan: TrialPlan
    relays_by_ends: dict[tuple[str, str], Relay] = field(default_factory=dict)
    addresses_by_name: dict[str, str] = field(default_factory=dict)
    relay_addresses_by_source: dict[str, dict[str, str]] = field(default_factory=dict)
    closed_relays_bytes: int = 0
    partitioned: frozenset[str] = frozenset()

    @property
    def carried_bytes(self) -> int:
        """Return how many bytes the entries have sent to each other."""
        return self.closed_relays_bytes + sum(
            relay.carried_bytes for relay in self.relays_by_ends.values()
        )

    def peer_router_of(self, name: str) -> Callable[[str, str], str]:
        """Return the function that routes the peer connections of the entry `name` over relays."""
        relay_addresses = self.relay_addresses_by_source.setdefault(name, {})
        return lambda peer, address: relay_addresses.get(address, address)

    async def connect(self, name: str, address: str) -> None:
        """Open relays between the entry at `address` and all others, replacing its old ones."""
        for ends in [ends for ends in self.relays_by_ends if name in ends]:
            relay = self.relays_by_ends.pop(ends)
            self.closed_relays_bytes += relay.carried_bytes
            await relay.stop()
        self.addresses_by_name[name] = address
        for other, other_address in list(self.addresses_by_name.items()):
            if other == name:
                continue
            await self._open_link(other, name, address)
            await self._open_link(name, other, other_address)

    def cut(self, names: Iterable[str]) -> None:
        """Cut every link between an entry in `names` and one that is not."""
        self.partitioned = frozenset(names)
        for ends, relay in self.relays_by_ends.items():
            relay.is_cut = self._is_cut(ends)

    def heal(self) -> None:
        """Restore every link."""
        self.cut(())

    async def stop(self) -> None:
        """Close every relay."""
        for relay in self.relays_by_ends.values():
            await relay.stop()

    async def _open_link(self, source: str, target: str, address: str) -> None:
        random = Random(f"{self.plan.seed}/link/{source}/{target}")
        delay = link_delay(self.plan.region.between_data_centres_ms, random)
        relay = await start_relay(address, delay)
        relay.is_cut = self._is_cut((source, target))
        self.relays_by_ends[source, target] = relay
        self.relay_addresses_by_source.setdefault(source, {})[address] = str(relay.address)

    def _is_cut(self, ends: tuple[str, str]) -> bool:
        return (ends[0] in self.partitioned) != (ends[1] in self.partitioned)

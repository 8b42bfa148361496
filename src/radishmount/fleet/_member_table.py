"""The membership state of each instance, merged from its own and its neighbours' updates."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from radishmount.fleet._messages import MemberState, MemberUpdate, PeerIdentity


__all__ = ["Member", "MemberTable"]

OVERLOADED_LOAD = 1.0  # the whole capacity is in use
RECOVERED_LOAD = 0.75  # lower than OVERLOADED_LOAD, so that callers are not moved back and forth


@dataclass(slots=True)
class Member:
    """The latest update about one instance, and when it last sent a heartbeat to this one."""

    update: MemberUpdate
    load: float = 0.0
    last_contact_at_ms: float | None = None


@dataclass(slots=True)
class MemberTable:
    """The latest update of every known instance, this one included.

    `on_update` is called with each update that was new here and its cause, to pass it on to peers.
    """

    own: MemberUpdate
    own_data_centre: str
    by_name: dict[str, Member] = field(default_factory=dict)
    own_incarnations: set[int] = field(default_factory=set)
    on_update: list[Callable[[MemberUpdate, str], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Record the first incarnation."""
        self.own_incarnations.add(self.own.incarnation)

    def identity(self) -> PeerIdentity:
        """Return the identity that this instance presents to peers."""
        return PeerIdentity(self.own.name, self.own_data_centre, self.own.incarnation)

    def known_incarnation(self, name: str) -> int:
        """Return the latest known incarnation of `name`, zero if it is unknown."""
        if name == self.own.name:
            return self.own.incarnation
        member = self.by_name.get(name)
        return 0 if member is None else member.update.incarnation

    def raise_incarnation_above(self, known: int) -> None:
        """Raise this instance's incarnation above `known`, unless it is higher already.

        A peer knows `known` from an earlier start of this instance.
        """
        if known < self.own.incarnation:
            return
        self.own = replace(self.own, incarnation=known + 1, sequence=0)
        self.own_incarnations.add(self.own.incarnation)
        self._notify(self.own, "a peer knew this or a higher incarnation")

    def set_own_state(self, state: MemberState, cause: str) -> bool:
        """Set the state of this instance; return whether it changed."""
        if self.own.state is state:
            return False
        self.own = replace(self.own, state=state, sequence=self.own.sequence + 1)
        self._notify(self.own, cause)
        return True

    def update_own_load(self, load: float) -> None:
        """Switch this instance between live and overloaded by its load."""
        if self.own.state is MemberState.LIVE and load >= OVERLOADED_LOAD:
            self.set_own_state(MemberState.OVERLOADED, f"load {load:.2f}")
        if self.own.state is MemberState.OVERLOADED and load < RECOVERED_LOAD:
            self.set_own_state(MemberState.LIVE, f"load {load:.2f}")

    def suspect(self, name: str, incarnation: int) -> bool:
        """Mark an instance that does not answer as suspected; return whether that was new."""
        member = self.by_name.get(name)
        if member is None:
            update = MemberUpdate(name, incarnation, 0, MemberState.SUSPECTED)
        else:
            update = replace(member.update, state=MemberState.SUSPECTED)
        return self.apply(update, "no answer")

    def apply(self, update: MemberUpdate, cause: str) -> bool:
        """Apply an update if it supersedes the known one; return whether it did.

        An update about this instance itself is refuted where it is wrong.
        """
        if update.name == self.own.name:
            self._refute(update)
            return False
        member = self.by_name.get(update.name)
        if member is None:
            self.by_name[update.name] = Member(update)
            self._notify(update, cause)
            return True
        if not _supersedes(update, member.update):
            return False
        if update.incarnation != member.update.incarnation:
            member.last_contact_at_ms = None
        member.update = update
        self._notify(update, cause)
        return True

    def record_contact(self, peer: PeerIdentity, load: float, now_ms: float) -> None:
        """Record that `peer` itself sent a heartbeat, and the load that it reported."""
        member = self.by_name.get(peer.name)
        if member is None or member.update.incarnation < peer.incarnation:
            self.apply(MemberUpdate(peer.name, peer.incarnation, 0, MemberState.LIVE), "heard")
            member = self.by_name[peer.name]
        if member.update.incarnation == peer.incarnation:
            member.last_contact_at_ms = now_ms
            member.load = load

    def clear_contacts(self) -> None:
        """Clear the times of last contact, which are outdated after a pause of this process."""
        for member in self.by_name.values():
            member.last_contact_at_ms = None

    def keep_only(self, names: Iterable[str]) -> None:
        """Drop all instances but `names`."""
        kept = set(names)
        for name in [name for name in self.by_name if name not in kept]:
            del self.by_name[name]

    def state_of(self, name: str) -> MemberState | None:
        """Return the last known state of `name`, none if it is unknown."""
        if name == self.own.name:
            return self.own.state
        member = self.by_name.get(name)
        return None if member is None else member.update.state

    def updates(self) -> tuple[MemberUpdate, ...]:
        """Return this instance's update and those of all that are not live, for a new peer."""
        others = [m.update for m in self.by_name.values() if m.update.state is not MemberState.LIVE]
        return (self.own, *others)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute an update by others about this instance with a newer own one, as in SWIM."""
        own = self.own
        if update.incarnation > own.incarnation:
            self.raise_incarnation_above(update.incarnation)
            return
        if update.incarnation < own.incarnation or update.sequence < own.sequence:
            return
        if update == own:
            return
        self.own = replace(own, sequence=update.sequence + 1)
        self._notify(self.own, f"refutes {update.state}")

    def _notify(self, update: MemberUpdate, cause: str) -> None:
        for callback in self.on_update:
            callback(update, cause)


def _supersedes(update: MemberUpdate, known: MemberUpdate) -> bool:
    """Return whether `update` is newer than `known`.

    With equal incarnation and sequence, a suspicion supersedes live and overloaded, not leaving.
    """
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    if update.sequence != known.sequence:
        return update.sequence > known.sequence
    is_suspicion = update.state is MemberState.SUSPECTED
    return is_suspicion and known.state not in (MemberState.SUSPECTED, MemberState.LEAVING)

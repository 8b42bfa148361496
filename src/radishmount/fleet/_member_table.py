"""What is known of each instance from itself and from its neighbours."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from radishmount.fleet._messages import MemberState, MemberUpdate, PeerIdentity


__all__ = ["Member", "MemberTable"]

OVERLOADED_AT = 1.0  # all of what the instance has is in use
LIVE_AGAIN_BELOW = 0.75  # lower, so that callers do not come and go by turns


@dataclass(slots=True)
class Member:
    """The latest news of one instance. `heard_at_ms` is when a frame of its own last came."""

    update: MemberUpdate
    load: float = 0.0
    heard_at_ms: float | None = None


@dataclass(slots=True)
class MemberTable:
    """The news of all instances by name, this one among them.

    `on_update` is told of each update that was new here, so that it travels on.
    """

    own: MemberUpdate
    own_data_centre: str
    by_name: dict[str, Member] = field(default_factory=dict)
    own_incarnations: set[int] = field(default_factory=set)
    on_update: list[Callable[[MemberUpdate, str], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Remember the first incarnation."""
        self.own_incarnations.add(self.own.incarnation)

    def identity(self) -> PeerIdentity:
        """Return who this instance is."""
        return PeerIdentity(self.own.name, self.own_data_centre, self.own.incarnation)

    def known_incarnation(self, name: str) -> int:
        """Return the latest start of `name` that was heard of, zero if none was."""
        if name == self.own.name:
            return self.own.incarnation
        member = self.by_name.get(name)
        return 0 if member is None else member.update.incarnation

    def raise_incarnation_above(self, known: int) -> None:
        """Take an incarnation above `known`, an earlier start that a peer has heard of."""
        if known < self.own.incarnation:
            return
        self.own = replace(self.own, incarnation=known + 1, sequence=0)
        self.own_incarnations.add(self.own.incarnation)
        self._tell(self.own, "a peer knew a later start")

    def set_own_state(self, state: MemberState, cause: str) -> bool:
        """Say a new state of this instance; tell whether it was a change."""
        if self.own.state is state:
            return False
        self.own = replace(self.own, state=state, sequence=self.own.sequence + 1)
        self._tell(self.own, cause)
        return True

    def update_own_load(self, load: float) -> None:
        """Say that this instance is overloaded, or that it is no more."""
        if self.own.state is MemberState.LIVE and load >= OVERLOADED_AT:
            self.set_own_state(MemberState.OVERLOADED, f"load {load:.2f}")
        if self.own.state is MemberState.OVERLOADED and load < LIVE_AGAIN_BELOW:
            self.set_own_state(MemberState.LIVE, f"load {load:.2f}")

    def suspect(self, name: str, incarnation: int) -> bool:
        """Say that an instance does not answer; tell whether that was news."""
        member = self.by_name.get(name)
        if member is None:
            update = MemberUpdate(name, incarnation, 0, MemberState.SUSPECTED)
        else:
            update = replace(member.update, state=MemberState.SUSPECTED)
        return self.apply(update, "no answer")

    def apply(self, update: MemberUpdate, cause: str) -> bool:
        """Take an update if it goes before what is known; tell whether it did."""
        if update.name == self.own.name:
            self._refute(update)
            return False
        member = self.by_name.get(update.name)
        if member is None:
            self.by_name[update.name] = Member(update)
            self._tell(update, cause)
            return True
        if not _goes_before(update, member.update):
            return False
        if update.incarnation != member.update.incarnation:
            member.heard_at_ms = None
        member.update = update
        self._tell(update, cause)
        return True

    def record_contact(self, peer: PeerIdentity, load: float, now_ms: float) -> None:
        """Take a frame of `peer` itself as evidence that it lives."""
        member = self.by_name.get(peer.name)
        if member is None or member.update.incarnation < peer.incarnation:
            self.apply(MemberUpdate(peer.name, peer.incarnation, 0, MemberState.LIVE), "heard")
            member = self.by_name[peer.name]
        if member.update.incarnation == peer.incarnation:
            member.heard_at_ms = now_ms
            member.load = load

    def clear_contacts(self) -> None:
        """Forget when each instance was heard, as after a pause."""
        for member in self.by_name.values():
            member.heard_at_ms = None

    def keep_only(self, names: Iterable[str]) -> None:
        """Drop the news of instances that are listed no more."""
        kept = set(names)
        for name in [name for name in self.by_name if name not in kept]:
            del self.by_name[name]

    def state_of(self, name: str) -> MemberState | None:
        """Return the last known state of `name`, none when nothing was heard."""
        if name == self.own.name:
            return self.own.state
        member = self.by_name.get(name)
        return None if member is None else member.update.state

    def updates(self) -> tuple[MemberUpdate, ...]:
        """Return all that is known, for a peer that has just connected."""
        told = [m.update for m in self.by_name.values() if m.update.state is not MemberState.LIVE]
        return (self.own, *told)

    def _refute(self, update: MemberUpdate) -> None:
        """Answer what others say of this instance with a later word of its own."""
        own = self.own
        if update.incarnation > own.incarnation:
            self.raise_incarnation_above(update.incarnation)
            return
        if update.incarnation < own.incarnation or update.sequence < own.sequence:
            return
        if update == own:
            return
        self.own = replace(own, sequence=update.sequence + 1)
        self._tell(self.own, f"refutes {update.state}")

    def _tell(self, update: MemberUpdate, cause: str) -> None:
        for tell in self.on_update:
            tell(update, cause)


def _goes_before(update: MemberUpdate, known: MemberUpdate) -> bool:
    """Tell whether `update` is later than `known`; suspicion goes before the same word."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    if update.sequence != known.sequence:
        return update.sequence > known.sequence
    is_suspicion = update.state is MemberState.SUSPECTED
    return is_suspicion and known.state not in (MemberState.SUSPECTED, MemberState.LEAVING)

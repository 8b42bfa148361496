"""Which instance owns an idempotency key, and when it may run an order under the key."""

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from radishmount.orders._messages import KeyAgreement, KeyClaim
from radishmount.rendezvous import rank


__all__ = ["KeyOwnership", "key_id_of", "may_run_key", "owner_of"]

MIN_OLD_RATIO = 2.0 / 3.0


def key_id_of(caller: str, key: str) -> str:
    """Return the id of a key. It contains the caller, so that callers cannot collide."""
    return f"{caller}\n{key}"


def owner_of(key_id: str, listed: Collection[str]) -> str:
    """Return the owner of a key among the `listed` instances, by rendezvous hashing."""
    return rank(key_id, listed)[0]


@dataclass(slots=True)
class InstanceListVersion:
    """The instances that were listed from `since_ms` until the next version."""

    since_ms: float
    names: tuple[str, ...]


@dataclass(slots=True)
class KeyOwnership:
    """The recent instance lists of this instance, and the incarnations of owners that it has seen.

    All times are of its own monotonic clock. Lists that were replaced more than a key lifetime
    ago are dropped. An owner that was seen with two incarnations is ambiguous for a lifetime:
    either process may hold records that the other one lacks.
    """

    own_name: str
    incarnation: int
    lifetime_ms: float
    first_list_at_ms: float | None = None
    history: deque[InstanceListVersion] = field(default_factory=deque)
    incarnations_by_owner: dict[str, int] = field(default_factory=dict)
    ambiguous_until_ms_by_owner: dict[str, float] = field(default_factory=dict)

    @property
    def listed_names(self) -> tuple[str, ...]:
        """Return the names in the current instance list."""
        return self.history[-1].names if self.history else (self.own_name,)

    def apply_list(self, names: Collection[str], now_ms: float) -> None:
        """Record that `names` are listed from now on."""
        if self.first_list_at_ms is None:
            self.first_list_at_ms = now_ms
        listed = tuple(sorted(names))
        if self.history and self.history[-1].names == listed:
            return
        self.history.append(InstanceListVersion(now_ms, listed))

    def has_full_history(self, now_ms: float) -> bool:
        """Return whether the history covers a whole key lifetime."""
        since_ms = self.first_list_at_ms
        return since_ms is not None and now_ms - since_ms >= self.lifetime_ms

    def answer_claim(self, claim: KeyClaim, now_ms: float) -> KeyAgreement:
        """Agree if the claimant was the owner by every list of the last key lifetime.

        An owner that was seen with two incarnations in that time gets no agreement.
        """
        self._expire_history(now_ms)
        self._record_incarnation(claim, now_ms)
        ambiguous_until_ms = self.ambiguous_until_ms_by_owner.get(claim.owner, 0.0)
        agrees = now_ms >= ambiguous_until_ms and self._is_owner_in_all_lists(
            claim.key_id, claim.owner
        )
        return KeyAgreement(agrees, self.has_full_history(now_ms))

    def make_claim(self, key_id: str) -> KeyClaim:
        """Return the claim of this instance to `key_id`."""
        return KeyClaim(key_id, self.own_name, self.incarnation)

    def _expire_history(self, now_ms: float) -> None:
        """Drop the lists that were replaced more than a key lifetime ago."""
        while len(self.history) > 1 and self.history[1].since_ms <= now_ms - self.lifetime_ms:
            self.history.popleft()

    def _record_incarnation(self, claim: KeyClaim, now_ms: float) -> None:
        """Mark an owner as ambiguous for a key lifetime when its incarnation changes."""
        known = self.incarnations_by_owner.get(claim.owner)
        if known is not None and known != claim.incarnation:
            self.ambiguous_until_ms_by_owner[claim.owner] = now_ms + self.lifetime_ms
        self.incarnations_by_owner[claim.owner] = claim.incarnation

    def _is_owner_in_all_lists(self, key_id: str, owner: str) -> bool:
        for listed in self.history:
            if owner not in listed.names or owner_of(key_id, listed.names) != owner:
                return False
        return bool(self.history)


def may_run_key(
    own: KeyAgreement, other_names: Collection[str], agreements_by_name: Mapping[str, KeyAgreement]
) -> bool:
    """Return whether the owner of a key can be certain that no other instance ran an order of it.

    Every other listed instance must agree. The owner and at least two thirds of all listed
    instances must remember a whole key lifetime: an instance that remembers another owner does
    not agree, but one that started recently would agree without knowing of another owner.
    """
    if not (own.agrees and own.is_old):
        return False
    if any(name not in agreements_by_name for name in other_names):
        return False
    if not all(agreements_by_name[name].agrees for name in other_names):
        return False
    old = 1 + sum(agreements_by_name[name].is_old for name in other_names)
    return old >= MIN_OLD_RATIO * (1 + len(other_names))

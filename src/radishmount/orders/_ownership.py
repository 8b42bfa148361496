"""Who owns a caller's idempotency key, and when the owner may be certain of it."""

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from radishmount.orders._messages import KeyAgreement, KeyClaim
from radishmount.rendezvous import rank


__all__ = ["KeyOwnership", "key_id_of", "may_run_key", "owner_of"]

OLD_SHARE = 2.0 / 3.0


def key_id_of(caller: str, key: str) -> str:
    """Return the id of a key; callers cannot touch each other's."""
    return f"{caller}\n{key}"


def owner_of(key_id: str, listed: Collection[str]) -> str:
    """Return the instance that owns the key, of all that are listed."""
    return rank(key_id, listed)[0]


@dataclass(slots=True)
class ListedNames:
    """The names that were listed from a time on."""

    since_ms: float
    names: tuple[str, ...]


@dataclass(slots=True)
class KeyOwnership:
    """What this instance remembers of the lists that it held and of the claims that it agreed to.

    All times are of its own monotonic clock. Lists older than the key lifetime are forgotten.
    """

    own_name: str
    incarnation: int
    lifetime_ms: float
    remembers_since_ms: float | None = None
    history: deque[ListedNames] = field(default_factory=deque)
    incarnations_by_owner: dict[str, int] = field(default_factory=dict)
    doubted_until_ms_by_owner: dict[str, float] = field(default_factory=dict)

    @property
    def listed(self) -> tuple[str, ...]:
        """Return the names that are listed now."""
        return self.history[-1].names if self.history else (self.own_name,)

    def take_list(self, names: Collection[str], now_ms: float) -> None:
        """Remember that `names` are listed from now on."""
        if self.remembers_since_ms is None:
            self.remembers_since_ms = now_ms
        listed = tuple(sorted(names))
        if self.history and self.history[-1].names == listed:
            return
        self.history.append(ListedNames(now_ms, listed))

    def is_old(self, now_ms: float) -> bool:
        """Tell whether this instance remembers a whole key lifetime."""
        since_ms = self.remembers_since_ms
        return since_ms is not None and now_ms - since_ms >= self.lifetime_ms

    def answer(self, claim: KeyClaim, now_ms: float) -> KeyAgreement:
        """Agree when no list of the last lifetime names another owner or another start of it."""
        self._forget(now_ms)
        self._meet(claim, now_ms)
        doubted_until_ms = self.doubted_until_ms_by_owner.get(claim.owner, 0.0)
        agrees = now_ms >= doubted_until_ms and self._always_owned(claim.key_id, claim.owner)
        return KeyAgreement(agrees, self.is_old(now_ms))

    def own_claim(self, key_id: str) -> KeyClaim:
        """Return the claim of this instance to `key_id`."""
        return KeyClaim(key_id, self.own_name, self.incarnation)

    def _forget(self, now_ms: float) -> None:
        """Forget the lists that were replaced a whole lifetime ago."""
        while len(self.history) > 1 and self.history[1].since_ms <= now_ms - self.lifetime_ms:
            self.history.popleft()

    def _meet(self, claim: KeyClaim, now_ms: float) -> None:
        """Doubt an owner that appears as two starts, for as long as either may hold records."""
        known = self.incarnations_by_owner.get(claim.owner)
        if known is not None and known != claim.incarnation:
            self.doubted_until_ms_by_owner[claim.owner] = now_ms + self.lifetime_ms
        self.incarnations_by_owner[claim.owner] = claim.incarnation

    def _always_owned(self, key_id: str, owner: str) -> bool:
        for listed in self.history:
            if owner not in listed.names or owner_of(key_id, listed.names) != owner:
                return False
        return bool(self.history)


def may_run_key(
    own: KeyAgreement, listed: Collection[str], agreements_by_name: Mapping[str, KeyAgreement]
) -> bool:
    """Tell whether the owner of a key may be certain that no other instance ran it.

    Every other listed instance must agree, the owner must be old, and so must two thirds of all:
    one that remembers another owner would not agree, and one that started late remembers none.
    """
    if not (own.agrees and own.is_old):
        return False
    if any(name not in agreements_by_name for name in listed):
        return False
    if not all(agreements_by_name[name].agrees for name in listed):
        return False
    old = 1 + sum(agreements_by_name[name].is_old for name in listed)
    return old >= OLD_SHARE * (1 + len(listed))

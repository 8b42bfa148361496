"""Decides whether an answer of the store goes on from what is known, or begins anew."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.discovery._position import StorePosition
from radishmount.discovery._store import StoreAnswer, StoreFailure, StoreFailureKind


__all__ = ["HistoryCheck", "KnownView"]

# An answer may be late, or come from a replica that was left behind. A store that tells nothing
# newer for this long has gone back; changes are due everywhere within three times as long.
MAX_OUTDATED_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class KnownView:
    """What was known of the store when it was called.

    `position` is the newest one known, and `read_position` the one up to which the store has been
    read here, which a watch goes on from. It is none for a full read.
    """

    position: StorePosition
    read_position: StorePosition | None


@dataclass(slots=True)
class HistoryCheck:
    """Places the answers of the store in the history that is followed.

    A store may come back from an older copy, or be replaced by another one, and tell of that by a
    higher era or not at all. The view of an instance must not stay newer than all that its store
    will ever tell. So an answer from before what was known when the store was called begins a new
    history, if the settings have just replaced the store, or if the store has told nothing newer
    for `MAX_OUTDATED_MS` and no peer has read anything newer in that time.

    A watch cannot go on over such a step, so it fails, and a full read is made. `outdated_since_ms`
    is the time of the first of the outdated answers, none after an answer that is not outdated.
    """

    clock: Clock
    outdated_since_ms: float | None = None
    trusts_next: bool = False

    def trust_next(self) -> None:
        """Take the next answer as the newest, as it comes from a store that is new here."""
        self.trusts_next = True
        self.outdated_since_ms = None

    def contradict(self, read_at_ms: float) -> bool:
        """Return whether a peer's read at a time shows that the outdated answers are wrong.

        The store is then believed only after it has told nothing newer for the whole time again.
        """
        if self.outdated_since_ms is None or read_at_ms < self.outdated_since_ms:
            return False
        self.outdated_since_ms = None
        return True

    def place(
        self, answer: StoreAnswer, view: KnownView, known_position: StorePosition
    ) -> Result[StoreAnswer, StoreFailure]:
        """Return the answer with its position in the history that is followed, or a failure.

        `known_position` is the newest one known now, which a peer may have told during the call.
        """
        told = answer.position
        placed = known_position.in_same_history(told)
        is_full = view.read_position is None
        is_behind = placed.era == view.position.era and placed < view.position
        if placed.era < known_position.era or is_behind:
            if not self.trusts_next and not self._is_outdated_for_long():
                return _fail(StoreFailureKind.OUTDATED, told, known_position)
            self.trusts_next = not is_full
            if not is_full:
                return _fail(StoreFailureKind.RESTORED, told, known_position)
            placed = known_position.begin_history(told)
        elif view.read_position is not None and not _goes_on(placed, view.read_position):
            return _fail(StoreFailureKind.RESTORED, told, view.read_position)
        self.trusts_next = False
        self.outdated_since_ms = None
        return Ok(replace(answer, position=placed))

    def _is_outdated_for_long(self) -> bool:
        """Return whether the store has told nothing newer for long."""
        now_ms = self.clock.now_ms()
        if self.outdated_since_ms is None:
            self.outdated_since_ms = now_ms
        return now_ms - self.outdated_since_ms >= MAX_OUTDATED_MS


def _goes_on(placed: StorePosition, read_position: StorePosition) -> bool:
    """Return whether a watch from `read_position` was answered within the era, and not before it.

    In a later era its revisions stand for other changes, and those up to the revision from which
    the watch began are not returned.
    """
    return placed.era == read_position.era and placed >= read_position


def _fail(kind: StoreFailureKind, told: StorePosition, known: StorePosition) -> Err[StoreFailure]:
    detail = f"{told}, after {known.told}"
    return Err(StoreFailure(kind, Refusal(Code.PLATFORM_WENT_BACK, detail=detail)))

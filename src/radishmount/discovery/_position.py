"""A position in the history of the store, which may come back from an older copy."""

from dataclasses import dataclass


__all__ = ["ERAS_PER_HISTORY", "NO_POSITION", "StorePosition"]

ERAS_PER_HISTORY = 100_000  # above the highest era that a store may tell


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A revision of the store, and how often the store had come back from an older copy by then.

    Revisions go back at the beginning of an era and are given out again for other changes, so they
    can be compared within an era only. A later era is newer, whatever the revision:

        assert StorePosition(2, 104) > StorePosition(1, 112)

    A store that does not tell its era is in era 0. A store may also go back without a higher era
    that tells so. Instances then count a new history, which is newer than all eras before:

        assert StorePosition(5, 104).begin_history(StorePosition(1, 3)) == StorePosition(100_001, 3)
    """

    era: int
    revision: int

    def __str__(self) -> str:
        """Return the position as it is written in logs."""
        history = f"history {self.history}, " if self.history else ""
        return f"{history}era {self.told.era}, revision {self.revision}"

    @property
    def history(self) -> int:
        """Return how often the store has gone back without a higher era."""
        return self.era // ERAS_PER_HISTORY

    @property
    def told(self) -> "StorePosition":
        """Return the position in the terms of the store."""
        return StorePosition(self.era % ERAS_PER_HISTORY, self.revision)

    def in_same_history(self, told: "StorePosition") -> "StorePosition":
        """Return the position that the store tells, as one of the history of this position."""
        return StorePosition(self.history * ERAS_PER_HISTORY + told.era, told.revision)

    def begin_history(self, told: "StorePosition") -> "StorePosition":
        """Return the position that the store tells, as one of a history after this position."""
        return StorePosition((self.history + 1) * ERAS_PER_HISTORY + told.era, told.revision)


NO_POSITION = StorePosition(0, 0)

"""The number of a start, which grows from each start of an instance to the next without a disk."""

from random import Random


__all__ = ["first_incarnation"]

STARTS_PER_MS = 1024


def first_incarnation(wall_ms: float, random: Random) -> int:
    """Return the incarnation of a start at `wall_ms`.

    It is the time of day with a random rest, so that two starts in one millisecond differ too.
    Where the time of day went back between two starts, the peers that knew the earlier start
    say so in their hello, and the instance takes the number after it.
    """
    return int(wall_ms) * STARTS_PER_MS + random.randrange(STARTS_PER_MS)

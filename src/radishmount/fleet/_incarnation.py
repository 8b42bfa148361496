"""The incarnation: a number that grows with each start of an instance, without stored state."""

from random import Random


__all__ = ["first_incarnation"]

INCARNATIONS_PER_MS = 1024


def first_incarnation(wall_ms: float, random: Random) -> int:
    """Return the incarnation of an instance that starts at `wall_ms`.

    It is the wall-clock time with random low bits, so that two starts within one millisecond differ
    as well. If the wall clock went back between two starts, peers that know the earlier incarnation
    report it in the handshake, and the instance raises its own above it.
    """
    return int(wall_ms) * INCARNATIONS_PER_MS + random.randrange(INCARNATIONS_PER_MS)

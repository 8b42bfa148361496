"""Digests by which two instances find out whether they know the same."""

from collections.abc import Hashable, Iterable
from functools import lru_cache

from radishmount.rendezvous import weight


__all__ = ["digest_of_items"]

KEPT_DIGESTS = 4_096  # more than the instances and endpoints of a large fleet


@lru_cache(KEPT_DIGESTS)
def _digest_of(item: Hashable) -> int:
    """Return a digest of one item, which fits a signed number of 64 bits."""
    return weight("digest", repr(item)) >> 1


def digest_of_items(items: Iterable[Hashable]) -> int:
    """Return a digest of all `items`, which does not depend on their order.

    It is the same in every process, as it is taken from the text of the items:

        assert digest_of_items(["a", "b"]) == digest_of_items(["b", "a"])
    """
    digest = 0
    for item in items:
        digest ^= _digest_of(item)
    return digest

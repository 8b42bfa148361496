"""Rendezvous hashing: all instances compute the same order of names for a key."""

from collections.abc import Iterable
from hashlib import blake2b


__all__ = ["rank", "weight"]


def weight(key: str, name: str) -> int:
    """Return the weight of `name` for `key`; the highest weight ranks first."""
    return int.from_bytes(blake2b(f"{key}\0{name}".encode(), digest_size=8).digest())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` by descending weight for `key`.

    Removing a name does not change the order of the others:

        rank("catalogue-01-a", ["entry-a", "entry-b"])
    """
    return sorted(names, key=lambda name: weight(key, name), reverse=True)

"""Rendezvous hashing: every instance ranks the same names for a key in the same order."""

from collections.abc import Iterable
from hashlib import blake2b


__all__ = ["rank", "weight"]


def weight(key: str, name: str) -> int:
    """Return the weight of `name` for `key`; the highest weight ranks first."""
    return int.from_bytes(blake2b(f"{key}\0{name}".encode(), digest_size=8).digest())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` in their order for `key`.

    A name that goes away changes no order among the others:

        rank("catalogue-01-a", ["entry-a", "entry-b"])
    """
    return sorted(names, key=lambda name: weight(key, name), reverse=True)

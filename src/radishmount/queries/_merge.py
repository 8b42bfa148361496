"""Merges the rows of the shards into one list."""

import heapq
from collections.abc import Iterable
from itertools import islice

from radishmount.endpoints import Row, SubReply


__all__ = ["merge_rows"]


def merge_rows(replies: Iterable[SubReply], limit: int) -> tuple[Row, ...]:
    """Return the best `limit` rows of `replies`, each of which is already sorted."""
    lists = [reply.rows for reply in replies]
    return tuple(islice(heapq.merge(*lists, key=_sort_key), limit))


def _sort_key(row: Row) -> tuple[float, str]:
    return (-row.score, row.key)

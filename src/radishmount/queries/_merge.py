"""The merge of the shards' rows into one list."""

import heapq
from collections.abc import Iterable
from itertools import islice

from radishmount.endpoints import Row, SubReply


__all__ = ["merge_rows"]


def merge_rows(replies: Iterable[SubReply], limit: int) -> tuple[Row, ...]:
    """Return the best `limit` rows of `replies`, each of which is in order already."""
    lists = [reply.rows for reply in replies]
    return tuple(islice(heapq.merge(*lists, key=_order), limit))


def _order(row: Row) -> tuple[float, str]:
    return (-row.score, row.key)

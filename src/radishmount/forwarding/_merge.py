"""The merge of the parts of an answer: the greatest records of all of them."""

import heapq
from collections.abc import Iterable


__all__ = ["RECORD_BYTES", "merge_top_records"]

RECORD_BYTES = 16  # the size of a record in the published protocol


def merge_top_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the `count` greatest records of `parts`, greatest first, compared byte by byte.

    Equal records all count. A remainder that is shorter than a record is none.
    """
    records: list[bytes] = []
    for part in parts:
        whole = len(part) - len(part) % RECORD_BYTES
        records.extend(part[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES))
    return b"".join(heapq.nlargest(count, records))

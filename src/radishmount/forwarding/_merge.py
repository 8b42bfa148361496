"""Merges the replies of the shards into their greatest records."""

import heapq
from collections.abc import Iterable


__all__ = ["RECORD_BYTES", "merge_top_records"]

RECORD_BYTES = 16  # fixed by the published protocol


def merge_top_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the `count` greatest records of `parts`, greatest first, compared byte by byte.

    Equal records are all kept. Trailing bytes that are too short for a record are ignored.
    """
    records: list[bytes] = []
    for part in parts:
        complete_bytes = len(part) - len(part) % RECORD_BYTES
        records.extend(
            part[offset : offset + RECORD_BYTES]
            for offset in range(0, complete_bytes, RECORD_BYTES)
        )
    return b"".join(heapq.nlargest(count, records))

"""Tests of merging records."""

from hypothesis import given
from hypothesis import strategies as st

from radishmount.forwarding import RECORD_BYTES, merge_top_records


class TestMergeTopRecords:
    """The greatest records of all replies, compared byte by byte."""

    def test_equal_records_are_all_kept(self) -> None:
        record = b"b" * RECORD_BYTES

        assert merge_top_records([record, record], 2) == record + record

    def test_bytes_too_few_for_a_record_are_ignored(self) -> None:
        assert merge_top_records([b"z" * (RECORD_BYTES - 1)], 5) == b""

    @given(st.lists(st.binary(max_size=80), max_size=5), st.integers(0, 6))
    def test_the_result_equals_that_of_sorting_all_records(
        self, parts: list[bytes], count: int
    ) -> None:
        records = [
            part[at : at + RECORD_BYTES]
            for part in parts
            for at in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
        ]

        expected = b"".join(sorted(records, reverse=True)[:count])
        assert merge_top_records(parts, count) == expected

"""Tests of the counters of broken promises: each one counts a forged violation."""

from collections.abc import Iterable

import pytest

from radishmount.publication import KeyRange
from radishmount.trial import CallRecord, CallTry, EndpointRecord, Told, count_violations
from trial_records import PARTS, answered_call, endpoint_record, endpoint_records, reported_row


LOW, HIGH = KeyRange("", "5"), KeyRange("5", None)


def counted(
    calls: Iterable[CallRecord], records: Iterable[EndpointRecord], stopped: Iterable[str] = ()
) -> dict[str, int]:
    return dict(count_violations(calls, records, PARTS, stopped).count_by_name)


class TestCountViolations:
    """What endpoints recorded, held against what callers were told."""

    def test_a_faultless_run_has_none(self) -> None:
        assert counted([answered_call()], endpoint_records()) == {}

    def test_counts_a_row_of_another_version(self) -> None:
        records = [endpoint_record("shard-1"), endpoint_record("shard-2", index_version=2)]

        assert counted([answered_call()], records) == {"mixed_snapshots": 1}

    def test_counts_rows_of_one_version_told_as_another(self) -> None:
        assert counted([answered_call(index_version=3)], endpoint_records()) == {
            "mixed_snapshots": 1
        }

    def test_counts_a_part_told_as_covered_without_rows(self) -> None:
        call = answered_call(rows=(reported_row("shard-1", LOW),))

        assert counted([call], endpoint_records()) == {"false_coverage": 1}

    def test_counts_a_part_that_only_half_of_its_keys_answered(self) -> None:
        call = answered_call(
            rows=(reported_row("shard-1", LOW), reported_row("shard-2", KeyRange("7", None)))
        )

        assert counted([call], endpoint_records()) == {"false_coverage": 1}

    def test_counts_a_part_that_the_answer_does_not_speak_of(self) -> None:
        call = answered_call(covered=("low",))

        assert counted([call], endpoint_records()) == {"false_coverage": 1}

    def test_counts_complete_beside_missing_parts(self) -> None:
        call = answered_call(covered=("low",), missing=("high",))

        assert counted([call], endpoint_records()) == {"false_coverage": 1}

    def test_an_honest_partial_answer_is_none(self) -> None:
        call = answered_call(
            covered=("low",),
            missing=("high",),
            complete=False,
            rows=(reported_row("shard-1", LOW),),
        )

        assert counted([call], endpoint_records()) == {}

    @pytest.mark.parametrize("fields", [{"request_id": "q2.0"}, {"text": "words of q2"}])
    def test_counts_a_row_of_another_request(self, fields: dict[str, str]) -> None:
        call = answered_call(
            rows=(reported_row("shard-1", LOW, **fields), reported_row("shard-2", HIGH))
        )
        records = [*endpoint_records(), endpoint_record("shard-1", request_id="q2.0")]

        assert counted([call], records) == {"crossed_answers": 1}

    def test_counts_an_answer_under_another_request_id(self) -> None:
        assert counted([answered_call(echoed_request_id="q2.0")], endpoint_records()) == {
            "crossed_answers": 1
        }

    def test_counts_a_row_that_no_endpoint_made(self) -> None:
        call = answered_call(
            rows=(reported_row("shard-1", LOW, attempt=9), reported_row("shard-2", HIGH))
        )

        assert counted([call], endpoint_records()) == {"crossed_answers": 1, "false_coverage": 1}

    def test_counts_work_that_ran_and_was_told_as_not_run(self) -> None:
        refused = CallTry("q1.0", "entry-1", 9.0, refused_as="DEADLINE_PASSED", ran="not-run")
        call = answered_call(told=Told.REFUSED, tries=[refused])

        assert counted([call], endpoint_records()) == {"ran_after_not_run": 1}

    def test_a_refusal_of_work_that_never_began_is_none(self) -> None:
        refused = CallTry("q1.0", "entry-1", 9.0, refused_as="SHED", ran="not-run")
        call = answered_call(told=Told.REFUSED, tries=[refused])

        assert counted([call], [endpoint_record(outcome="shed", ran=False)]) == {}

    def test_counts_an_order_that_ran_twice(self) -> None:
        records = [
            endpoint_record(order_key="booking-7", endpoint="order-a"),
            endpoint_record(order_key="booking-7", endpoint="order-b", request_id="q9.0"),
            endpoint_record(order_key="booking-8"),
        ]

        assert counted([], records) == {"ran_twice": 1}

    def test_an_order_that_ran_once_after_a_refusal_is_none(self) -> None:
        records = [
            endpoint_record(order_key="booking-7", ran=False, outcome="shed"),
            endpoint_record(order_key="booking-7"),
        ]

        assert counted([], records) == {}

    @pytest.mark.parametrize(("at_ms", "expected"), [(3_999.0, {}), (4_001.0, 1)])
    def test_counts_work_more_than_three_seconds_after_leaving(
        self, at_ms: float, expected: object
    ) -> None:
        records = [endpoint_record(at_ms=at_ms, leaving_since_ms=1_000.0)]

        assert counted([], records) == (expected and {"work_after_leaving": expected})

    def test_counts_a_request_cut_by_a_planned_stop(self) -> None:
        call = answered_call(tries=[CallTry("q1.0", "entry-1", 9.0, cut=True)])

        assert counted([call], endpoint_records(), stopped=["entry-1"]) == {"cut_in_flight": 1}

    def test_a_request_cut_by_a_vanished_entry_is_none(self) -> None:
        call = answered_call(tries=[CallTry("q1.0", "entry-1", 9.0, cut=True)])

        assert counted([call], endpoint_records(), stopped=["entry-2"]) == {}

    def test_counts_a_call_lost_at_an_entry_that_stopped_as_planned(self) -> None:
        call = answered_call(told=Told.LOST, tries=[CallTry("q1.0", "entry-1", 9.0)])

        assert counted([call], [], stopped=["entry-1"]) == {"lost_to_stop": 1}
        assert counted([call], [], stopped=["entry-2"]) == {}

"""Tests of the violation counters: each counts a violation forged in records of a correct run."""

from collections.abc import Iterable

import pytest

from radishmount.publication import KeyRange
from radishmount.trial import CallAttempt, CallOutcome, CallRecord, EndpointRecord, count_violations
from trial_records import PARTS, answered_call, endpoint_record, endpoint_records, reported_row


LOW, HIGH = KeyRange("", "5"), KeyRange("5", None)


def violation_counts(
    calls: Iterable[CallRecord], records: Iterable[EndpointRecord], stopped: Iterable[str] = ()
) -> dict[str, int]:
    return dict(count_violations(calls, records, PARTS, stopped).count_by_name)


class TestCountViolations:
    """Endpoint records are compared with the answers that callers got."""

    def test_a_correct_run_has_no_violations(self) -> None:
        assert violation_counts([answered_call()], endpoint_records()) == {}

    def test_counts_a_row_of_another_version(self) -> None:
        records = [endpoint_record("shard-1"), endpoint_record("shard-2", index_version=2)]

        assert violation_counts([answered_call()], records) == {"mixed_snapshots": 1}

    def test_counts_rows_of_one_version_reported_as_another(self) -> None:
        assert violation_counts([answered_call(index_version=3)], endpoint_records()) == {
            "mixed_snapshots": 1
        }

    def test_counts_a_part_reported_as_covered_without_rows(self) -> None:
        call = answered_call(rows=(reported_row("shard-1", LOW),))

        assert violation_counts([call], endpoint_records()) == {"false_coverage": 1}

    def test_counts_a_part_reported_as_covered_with_rows_for_only_some_of_its_keys(self) -> None:
        call = answered_call(
            rows=(reported_row("shard-1", LOW), reported_row("shard-2", KeyRange("7", None)))
        )

        assert violation_counts([call], endpoint_records()) == {"false_coverage": 1}

    def test_counts_a_part_that_the_answer_does_not_report(self) -> None:
        call = answered_call(covered=("low",))

        assert violation_counts([call], endpoint_records()) == {"false_coverage": 1}

    def test_counts_an_answer_marked_complete_with_missing_parts(self) -> None:
        call = answered_call(covered=("low",), missing=("high",))

        assert violation_counts([call], endpoint_records()) == {"false_coverage": 1}

    def test_a_correctly_reported_partial_answer_is_no_violation(self) -> None:
        call = answered_call(
            covered=("low",),
            missing=("high",),
            complete=False,
            rows=(reported_row("shard-1", LOW),),
        )

        assert violation_counts([call], endpoint_records()) == {}

    @pytest.mark.parametrize("fields", [{"request_id": "q2.0"}, {"text": "words of q2"}])
    def test_counts_a_row_of_another_request(self, fields: dict[str, str]) -> None:
        call = answered_call(
            rows=(reported_row("shard-1", LOW, **fields), reported_row("shard-2", HIGH))
        )
        records = [*endpoint_records(), endpoint_record("shard-1", request_id="q2.0")]

        assert violation_counts([call], records) == {"crossed_answers": 1}

    def test_counts_an_answer_under_another_request_id(self) -> None:
        assert violation_counts([answered_call(echoed_request_id="q2.0")], endpoint_records()) == {
            "crossed_answers": 1
        }

    def test_counts_a_row_without_an_endpoint_record(self) -> None:
        call = answered_call(
            rows=(reported_row("shard-1", LOW, attempt=9), reported_row("shard-2", HIGH))
        )

        assert violation_counts([call], endpoint_records()) == {
            "crossed_answers": 1,
            "false_coverage": 1,
        }

    def test_counts_a_request_that_ran_but_was_refused_as_not_run(self) -> None:
        refused = CallAttempt("q1.0", "entry-1", 9.0, refused_as="DEADLINE_PASSED", ran="not-run")
        call = answered_call(outcome=CallOutcome.REFUSED, attempts=[refused])

        assert violation_counts([call], endpoint_records()) == {"ran_after_not_run": 1}

    def test_a_refusal_of_a_request_that_never_ran_is_no_violation(self) -> None:
        refused = CallAttempt("q1.0", "entry-1", 9.0, refused_as="SHED", ran="not-run")
        call = answered_call(outcome=CallOutcome.REFUSED, attempts=[refused])

        assert violation_counts([call], [endpoint_record(outcome="shed", ran=False)]) == {}

    def test_counts_an_order_that_ran_twice(self) -> None:
        records = [
            endpoint_record(order_key="booking-7", endpoint="order-a"),
            endpoint_record(order_key="booking-7", endpoint="order-b", request_id="q9.0"),
            endpoint_record(order_key="booking-8"),
        ]

        assert violation_counts([], records) == {"ran_twice": 1}

    def test_an_order_that_ran_once_after_a_refusal_is_no_violation(self) -> None:
        records = [
            endpoint_record(order_key="booking-7", ran=False, outcome="shed"),
            endpoint_record(order_key="booking-7"),
        ]

        assert violation_counts([], records) == {}

    @pytest.mark.parametrize(("at_ms", "expected"), [(3_999.0, {}), (4_001.0, 1)])
    def test_counts_a_request_more_than_three_seconds_after_leaving_began(
        self, at_ms: float, expected: object
    ) -> None:
        records = [endpoint_record(at_ms=at_ms, leaving_since_ms=1_000.0)]

        assert violation_counts([], records) == (expected and {"work_after_leaving": expected})

    def test_counts_a_request_cut_by_a_graceful_stop(self) -> None:
        call = answered_call(attempts=[CallAttempt("q1.0", "entry-1", 9.0, cut=True)])

        assert violation_counts([call], endpoint_records(), stopped=["entry-1"]) == {
            "cut_in_flight": 1
        }

    def test_a_request_cut_by_an_entry_that_vanished_is_no_violation(self) -> None:
        call = answered_call(attempts=[CallAttempt("q1.0", "entry-1", 9.0, cut=True)])

        assert violation_counts([call], endpoint_records(), stopped=["entry-2"]) == {}

    def test_counts_a_call_lost_at_an_entry_that_stopped_gracefully(self) -> None:
        call = answered_call(
            outcome=CallOutcome.LOST, attempts=[CallAttempt("q1.0", "entry-1", 9.0)]
        )

        assert violation_counts([call], [], stopped=["entry-1"]) == {"lost_to_stop": 1}
        assert violation_counts([call], [], stopped=["entry-2"]) == {}

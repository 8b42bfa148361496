"""Tests that each check of the soak finds the violations of its promise, on made-up records."""

from typing import Any

from soak._checks import broken_promises
from soak._records import ExecutionRecord, PublishedVersion, Records, RequestKind, RequestRecord


def request(kind: RequestKind, at_s: float = 10.0, **fields: Any) -> RequestRecord:
    """Return the record of a request that was answered after 10 ms."""
    defaults: dict[str, Any] = {"ended_at_s": at_s + 0.01, "status": 200}
    return RequestRecord("q1", kind, "front-1", at_s, **{**defaults, **fields})


def records(*requests: RequestRecord, **fields: Any) -> Records:
    """Return the records of a run with one version, published at its start."""
    published = fields.pop("published", [PublishedVersion(1, ("a", "b"), 0.0)])
    return Records(requests=list(requests), published=published, **fields)


def merged_answer(*stamps: str, missing: int = 0, body: bytes = b"") -> RequestRecord:
    """Return the record of a merged answer whose parts have `stamps`."""
    return request(RequestKind.GATHER, stamps=stamps, missing_parts=missing, body=body)


class TestTimelessChecks:
    """The checks without time limits find violations on a machine of any speed."""

    def test_a_correct_run_has_no_violations(self) -> None:
        order = request(RequestKind.ORDER, stamps=("orders-1/q1",), body=b"x")
        violations = broken_promises(
            records(
                order,
                executions=[ExecutionRecord("q1", "orders", "orders-1", 10.0)],
                body_by_stamp={"orders-1/q1": b"x"},
            )
        )

        assert violations == {}

    def test_finds_an_order_that_ran_twice(self) -> None:
        executions = [ExecutionRecord("q1", "orders", f"orders-{n}", 10.0) for n in (1, 2)]

        assert "ran_twice" in broken_promises(
            records(request(RequestKind.ORDER), executions=executions)
        )

    def test_finds_a_request_that_ran_although_refused_as_not_run(self) -> None:
        executions = [ExecutionRecord("q1", "orders", "orders-1", 10.0)]
        refused = request(RequestKind.ORDER, status=503)

        assert "ran_after_not_run" in broken_promises(records(refused, executions=executions))

    def test_finds_the_answer_to_another_request(self) -> None:
        crossed = request(RequestKind.SINGLE, stamps=("orders-1/q2",))

        assert "crossed_answers" in broken_promises(records(crossed))

    def test_finds_a_truncated_body(self) -> None:
        cut = request(RequestKind.SINGLE, stamps=("orders-1/q1",), body=b"x")
        body_by_stamp = {"orders-1/q1": b"xyz"}

        assert "crossed_answers" in broken_promises(records(cut, body_by_stamp=body_by_stamp))

    def test_finds_a_merge_that_miscounts_missing_parts(self) -> None:
        assert "untrue_merges" in broken_promises(records(merged_answer("a-1/q1")))
        assert broken_promises(records(merged_answer("a-1/q1", missing=1))) == {}

    def test_finds_a_merge_of_two_versions(self) -> None:
        versions = [PublishedVersion(1, ("a", "b"), 0.0), PublishedVersion(2, ("c", "d"), 5.0)]
        mixed = merged_answer("a-1/q1", "c-1/q1")

        assert "untrue_merges" in broken_promises(records(mixed, published=versions))

    def test_finds_a_merge_with_two_parts_of_one_shard(self) -> None:
        assert "untrue_merges" in broken_promises(records(merged_answer("a-1/q1", "a-2/q1")))

    def test_finds_a_merge_without_the_greatest_record_first(self) -> None:
        body_by_stamp = {"a-1/q1": b"1" * 16 + b"2" * 16, "b-1/q1": b""}
        answer = merged_answer("a-1/q1", "b-1/q1", body=b"1" * 16 + b"2" * 16)

        assert "untrue_merges" in broken_promises(records(answer, body_by_stamp=body_by_stamp))

    def test_finds_instances_that_do_not_know_each_other(self) -> None:
        run = records(known_count_by_instance={"front-1": 2, "front-2": 1})

        assert "strangers" in broken_promises(run)

    def test_finds_an_unexpected_exit(self) -> None:
        assert "ended_by_itself" in broken_promises(
            records(unexpected_exits=["front-1 exited with status 70"])
        )


class TestTimedChecks:
    """The checks with time limits find violations unless a disturbance excuses them."""

    def test_finds_a_request_sent_to_an_endpoint_long_after_it_began_draining(self) -> None:
        executions = [ExecutionRecord("q1", "orders", "orders-1", 10.0)]
        run = records(
            request(RequestKind.SINGLE, status=None),
            executions=executions,
            draining_since_s_by_endpoint={"orders-1": 6.0},
        )
        violations = broken_promises(run)
        run.record_disturbance("front-1", 5.0, 6.0)

        assert "sent_to_leaving" in violations
        assert broken_promises(run) == {}

    def test_finds_a_version_that_is_not_served_in_time(self) -> None:
        versions = [PublishedVersion(1, (), 0.0), PublishedVersion(2, (), 6.0)]
        refused = request(RequestKind.MARK, status=404, marked_version=2)

        assert "not_in_force" in broken_promises(records(refused, published=versions))

    def test_finds_an_old_version_that_is_still_served(self) -> None:
        versions = [PublishedVersion(1, (), 0.0), PublishedVersion(2, (), 6.0)]
        served = request(RequestKind.MARK, marked_version=1, stamps=("orders-1/q1",))
        body_by_stamp = {"orders-1/q1": b""}
        violations = broken_promises(
            records(served, published=versions, body_by_stamp=body_by_stamp)
        )

        assert list(violations) == ["not_in_force"]

    def test_finds_the_return_of_an_old_version_without_a_restart(self) -> None:
        body_by_stamp = {"orders-1/q1": b""}
        new, old = (
            request(RequestKind.MARK, at_s, marked_version=version, stamps=("orders-1/q1",))
            for at_s, version in ((1.0, 2), (2.0, 1))
        )
        versions = [PublishedVersion(1, (), 0.0), PublishedVersion(2, (), 0.5)]
        run = records(new, old, published=versions, body_by_stamp=body_by_stamp)
        violations = broken_promises(run)
        run.start_times_s_by_instance["front-1"] = [0.0, 1.5]

        assert list(violations) == ["went_back"]
        assert broken_promises(run) == {}

    def test_finds_a_request_that_fails_after_the_time_to_recover(self) -> None:
        failed = request(RequestKind.SINGLE, status=502)

        assert "not_served_again" in broken_promises(records(failed, healed_at_s=1.0))
        assert broken_promises(records(failed, healed_at_s=9.0)) == {}

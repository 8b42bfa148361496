"""Tests that each check of the soak finds what breaks its promise, on forged records."""

from typing import Any

from soak._checks import broken_promises
from soak._records import Asked, Published, Ran, Records, RequestKind


def asked(kind: RequestKind, at_s: float = 10.0, **fields: Any) -> Asked:
    """Return a request that was answered at once."""
    defaults: dict[str, Any] = {"ended_at_s": at_s + 0.01, "status": 200}
    return Asked("q1", kind, "front-1", at_s, **{**defaults, **fields})


def records(*requests: Asked, **fields: Any) -> Records:
    """Return the records of a run with one version, published at its start."""
    published = fields.pop("published", [Published(1, ("a", "b"), 0.0)])
    return Records(asked=list(requests), published=published, **fields)


def merged(*signatures: str, missing: int = 0, body: bytes = b"") -> Asked:
    """Return a merged answer of empty parts."""
    return asked(RequestKind.GATHER, signatures=signatures, missing=missing, body=body)


class TestTimelessChecks:
    """What must hold on a machine of any speed."""

    def test_a_run_without_fault_breaks_nothing(self) -> None:
        order = asked(RequestKind.ORDER, signatures=("orders-1/q1",), body=b"x")
        found = broken_promises(
            records(
                order,
                ran=[Ran("q1", "orders", "orders-1", 10.0)],
                bodies_by_signature={"orders-1/q1": b"x"},
            )
        )

        assert found == {}

    def test_an_order_that_ran_twice(self) -> None:
        ran = [Ran("q1", "orders", f"orders-{n}", 10.0) for n in (1, 2)]

        assert "ran_twice" in broken_promises(records(asked(RequestKind.ORDER), ran=ran))

    def test_a_refusal_of_what_ran(self) -> None:
        ran = [Ran("q1", "orders", "orders-1", 10.0)]
        refused = asked(RequestKind.ORDER, status=503)

        assert "ran_after_not_run" in broken_promises(records(refused, ran=ran))

    def test_the_answer_to_another_request(self) -> None:
        crossed = asked(RequestKind.SINGLE, signatures=("orders-1/q2",))

        assert "crossed_answers" in broken_promises(records(crossed))

    def test_a_body_that_was_cut(self) -> None:
        cut = asked(RequestKind.SINGLE, signatures=("orders-1/q1",), body=b"x")
        sent = {"orders-1/q1": b"xyz"}

        assert "crossed_answers" in broken_promises(records(cut, bodies_by_signature=sent))

    def test_a_merge_that_counts_wrongly(self) -> None:
        assert "untrue_merges" in broken_promises(records(merged("a-1/q1")))
        assert broken_promises(records(merged("a-1/q1", missing=1))) == {}

    def test_a_merge_of_two_versions(self) -> None:
        versions = [Published(1, ("a", "b"), 0.0), Published(2, ("c", "d"), 5.0)]
        mixed = merged("a-1/q1", "c-1/q1")

        assert "untrue_merges" in broken_promises(records(mixed, published=versions))

    def test_a_merge_with_a_part_twice(self) -> None:
        assert "untrue_merges" in broken_promises(records(merged("a-1/q1", "a-2/q1")))

    def test_a_merge_without_the_greatest_record(self) -> None:
        sent = {"a-1/q1": b"1" * 16 + b"2" * 16, "b-1/q1": b""}
        answer = merged("a-1/q1", "b-1/q1", body=b"1" * 16 + b"2" * 16)

        assert "untrue_merges" in broken_promises(records(answer, bodies_by_signature=sent))

    def test_instances_that_never_met(self) -> None:
        seen = records(known_by_instance={"front-1": 2, "front-2": 1})

        assert "strangers" in broken_promises(seen)

    def test_an_exit_of_its_own(self) -> None:
        assert "ended_by_itself" in broken_promises(records(own_exits=["front-1 ended with 70"]))


class TestTimedChecks:
    """What must hold within seconds."""

    def test_a_request_to_an_endpoint_that_left(self) -> None:
        ran = [Ran("q1", "orders", "orders-1", 10.0)]
        seen = records(
            asked(RequestKind.SINGLE, status=None),
            ran=ran,
            drained_at_s_by_endpoint={"orders-1": 6.0},
        )
        found = broken_promises(seen)
        seen.trouble("front-1", 5.0, 6.0)

        assert "sent_to_leaving" in found
        assert broken_promises(seen) == {}

    def test_a_version_that_is_not_in_force(self) -> None:
        versions = [Published(1, (), 0.0), Published(2, (), 6.0)]
        refused = asked(RequestKind.MARK, status=404, mark=2)

        assert "not_in_force" in broken_promises(records(refused, published=versions))

    def test_a_version_that_is_still_served(self) -> None:
        versions = [Published(1, (), 0.0), Published(2, (), 6.0)]
        served = asked(RequestKind.MARK, mark=1, signatures=("orders-1/q1",))
        sent = {"orders-1/q1": b""}
        found = broken_promises(records(served, published=versions, bodies_by_signature=sent))

        assert list(found) == ["not_in_force"]

    def test_a_version_that_came_back(self) -> None:
        sent = {"orders-1/q1": b""}
        new, old = (
            asked(RequestKind.MARK, at_s, mark=mark, signatures=("orders-1/q1",))
            for at_s, mark in ((1.0, 2), (2.0, 1))
        )
        versions = [Published(1, (), 0.0), Published(2, (), 0.5)]
        seen = records(new, old, published=versions, bodies_by_signature=sent)
        found = broken_promises(seen)
        seen.starts_at_s_by_instance["front-1"] = [0.0, 1.5]

        assert list(found) == ["went_back"]
        assert broken_promises(seen) == {}

    def test_a_request_that_is_not_served_once_all_is_well(self) -> None:
        failed = asked(RequestKind.SINGLE, status=502)

        assert "not_served_again" in broken_promises(records(failed, calm_from_s=1.0))
        assert broken_promises(records(failed, calm_from_s=9.0)) == {}

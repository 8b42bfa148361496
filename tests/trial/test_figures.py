"""Tests of the figures of a run, and of the bounds that are checked against them."""

import pytest

from radishmount.trial import (
    BoundPlan,
    CallOutcome,
    ControlCost,
    Figures,
    LoadPlan,
    RegionPlan,
    ServicePlan,
    TrialPlan,
    Violations,
    WindowPlan,
    check_bounds,
    extra_load_ratio,
    figures_of,
)
from trial_records import answered_call, endpoint_record


SERVICE = ServicePlan("catalogue", endpoints=2, slots=2, connections=25, service_ms=100.0)
PLAN = TrialPlan(
    name="small",
    seed=1,
    warm_up_ms=0.0,
    duration_ms=1_000.0,
    region=RegionPlan(("milano",), entries=1, services=(SERVICE,)),
    loads=(LoadPlan("workshops", "catalogue", 10.0, 200.0, "milano"),),
    windows=(WindowPlan("early", 0.0, 500.0),),
)


def figures(calls=(), records=(), over_cap: int = 0) -> Figures:  # type: ignore[no-untyped-def]
    return figures_of(PLAN, calls, records, Violations(), ControlCost(), over_cap)


class TestFigures:
    """The figures of a run, computed from its records."""

    def test_percentiles_include_only_answered_calls(self) -> None:
        calls = [answered_call(latency_ms=float(n)) for n in range(1, 101)]
        calls.append(answered_call(outcome=CallOutcome.LOST, latency_ms=5_000.0, complete=False))

        result = figures(calls)

        assert result.figure("p50_ms") == pytest.approx(50.0, rel=0.01)
        assert result.figure("p99_ms") == pytest.approx(99.0, rel=0.01)
        assert result.figure("queries") == 101
        assert result.figure("lost") == 1
        assert result.figure("incomplete") == 1

    def test_coverage_of_a_call_without_answer_is_zero(self) -> None:
        calls = [answered_call(), answered_call(outcome=CallOutcome.REFUSED)]

        assert figures(calls).figure("coverage_mean") == 0.5

    def test_extra_load_counts_sub_requests_after_the_first_to_each_shard(self) -> None:
        records = [
            endpoint_record("shard-1"),
            endpoint_record("shard-1", attempt=2),
            endpoint_record("shard-2"),
            endpoint_record("shard-1", request_id="q2.0"),
        ]

        assert extra_load_ratio(records) == pytest.approx(1 / 3)

    def test_goodput_is_relative_to_the_capacity_of_the_endpoints(self) -> None:
        calls = [answered_call(at_ms=10.0 * n) for n in range(50)]
        calls += [answered_call(outcome=CallOutcome.REFUSED) for _ in range(50)]

        # 2 endpoints with 2 slots each, at 100 ms for a request, handle 40 requests per second.
        assert figures(calls).figure("goodput_ratio") == pytest.approx(50 / 40)

    def test_goodput_excludes_late_answers(self) -> None:
        calls = [answered_call(), answered_call(latency_ms=201.0)]

        assert figures(calls).figure("goodput_ratio") == 0.5

    def test_calls_belong_to_the_window_of_their_arrival(self) -> None:
        calls = [answered_call(at_ms=100.0), answered_call(at_ms=700.0)]

        assert figures(calls).figure("loads.workshops.early.queries") == 1

    def test_a_run_without_calls_has_no_percentiles(self) -> None:
        assert figures().figure("p99_ms") is None


class TestBounds:
    """Bounds are checked against the figures of the entries and of the baseline."""

    def test_a_bound_may_be_a_multiple_of_the_baseline(self) -> None:
        faster = figures([answered_call(latency_ms=40.0)])
        baseline = figures([answered_call(latency_ms=100.0)])
        bound = BoundPlan("p99_ms", at_most=0.5, times="baseline.p99_ms")

        assert check_bounds([bound], faster, baseline)[0].met
        assert not check_bounds([bound], baseline, faster)[0].met

    def test_a_lower_bound_is_met_by_a_figure_that_is_not_below_it(self) -> None:
        bounds = [BoundPlan("answered", at_least=2.0), BoundPlan("answered", at_least=1.0)]

        outcomes = check_bounds(bounds, figures([answered_call()]), None)

        assert [outcome.met for outcome in outcomes] == [False, True]

    @pytest.mark.parametrize("figure", ["control_bytes_per_s", "no_such_figure", "baseline.p99_ms"])
    def test_a_figure_that_was_not_measured_misses_its_bound(self, figure: str) -> None:
        outcome = check_bounds([BoundPlan(figure, at_most=1.0)], figures(), None)[0]

        assert outcome.met is False

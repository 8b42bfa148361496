"""Tests of the schedule of faults that a seed draws."""

from random import Random

from soak._plan import FaultKind, plan_faults


class TestPlanFaults:
    """A seed always draws the same faults, and many seeds together draw every kind."""

    def test_the_same_seed_draws_the_same_faults(self) -> None:
        assert plan_faults(Random(7), 15.0) == plan_faults(Random(7), 15.0)

    def test_faults_are_ordered_and_begin_within_the_length(self) -> None:
        times_s = [fault.at_s for fault in plan_faults(Random(7), 15.0)]

        assert times_s == sorted(times_s)
        assert max(times_s) < 15.0

    def test_fifty_seeds_draw_every_kind(self) -> None:
        kinds = {f.kind for seed in range(50) for f in plan_faults(Random(seed), 15.0)}

        assert kinds == set(FaultKind)

    def test_faults_overlap(self) -> None:
        faults = plan_faults(Random(7), 15.0)

        assert any(a.at_s + a.duration_s > b.at_s for a, b in zip(faults, faults[1:], strict=False))

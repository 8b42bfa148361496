"""Tests of how many lines are written."""

from radishmount.logs import LineRateLimiter


class TestLineRateLimiter:
    """So many lines of each kind in a second."""

    def test_lines_of_one_kind_take_nothing_from_another(self) -> None:
        budget = LineRateLimiter({"answered": 1, "failed": 2})

        granted = [budget.try_acquire("answered", 0.0) for _ in range(3)]

        assert granted == [True, False, False]
        assert budget.try_acquire("failed", 0.0)

    def test_a_new_second_brings_new_lines(self) -> None:
        budget = LineRateLimiter({"answered": 1})
        budget.try_acquire("answered", 0.0)

        assert not budget.try_acquire("answered", 999.0)
        assert budget.try_acquire("answered", 1_000.0)

    def test_what_was_withheld_is_told_once(self) -> None:
        budget = LineRateLimiter({"answered": 1})
        for _ in range(4):
            budget.try_acquire("answered", 0.0)

        assert budget.pop_withheld_counts() == {"answered": 3}
        assert budget.pop_withheld_counts() == {}

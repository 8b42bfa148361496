"""Tests of the rate limit of log lines."""

from radishmount.logs import LineRateLimiter


class TestLineRateLimiter:
    """Each kind has its own limit of lines per second."""

    def test_each_kind_has_its_own_limit(self) -> None:
        limiter = LineRateLimiter({"answered": 1, "failed": 2})

        granted = [limiter.try_acquire("answered", 0.0) for _ in range(3)]

        assert granted == [True, False, False]
        assert limiter.try_acquire("failed", 0.0)

    def test_the_limit_starts_anew_each_second(self) -> None:
        limiter = LineRateLimiter({"answered": 1})
        limiter.try_acquire("answered", 0.0)

        assert not limiter.try_acquire("answered", 999.0)
        assert limiter.try_acquire("answered", 1_000.0)

    def test_withheld_lines_are_reported_once(self) -> None:
        limiter = LineRateLimiter({"answered": 1})
        for _ in range(4):
            limiter.try_acquire("answered", 0.0)

        assert limiter.pop_withheld_counts() == {"answered": 3}
        assert limiter.pop_withheld_counts() == {}

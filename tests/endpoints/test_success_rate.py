"""The success rate of endpoints, and its weight in load balancing."""

from collections import Counter
from random import Random

from radishmount.codes import Code, RunStatus
from radishmount.endpoints import (
    Endpoint,
    Failure,
    LoadReport,
    SuccessRate,
    make_weighted_choice,
)
from radishmount.publication import EndpointSpec


NOW_MS = 10_000.0


class TestSuccessRate:
    """A moving average that decays towards 1 with time."""

    def test_half_of_the_requests_failing_shows_within_ten(self) -> None:
        success_rate = SuccessRate()
        for number in range(10):
            record = success_rate.record_failure if number % 2 else success_rate.record_success
            record(NOW_MS + number)

        assert success_rate.rate_at(NOW_MS + 10) < 0.6

    def test_one_failure_among_many_answers_hardly_counts(self) -> None:
        success_rate = SuccessRate()
        success_rate.record_failure(NOW_MS)
        for number in range(20):
            success_rate.record_success(NOW_MS + number)

        assert success_rate.rate_at(NOW_MS + 20) > 0.95

    def test_old_failures_are_forgotten(self) -> None:
        success_rate = SuccessRate()
        for _ in range(20):
            success_rate.record_failure(NOW_MS)

        assert success_rate.rate_at(NOW_MS) < 0.1
        assert success_rate.rate_at(NOW_MS + 30_000.0) > 0.95


class TestPartialFailure:
    """An endpoint that quickly refuses half of its requests, which its latency does not show."""

    def endpoint(self, name: str) -> Endpoint:
        """Return an endpoint that answered in 20 ms."""
        endpoint = Endpoint(EndpointSpec(name, "milano", "127.0.0.1:80"), slots=5)
        endpoint.is_tracked_by_discovery = True
        endpoint.available_since_ms = 0.0
        endpoint.record_reply(LoadReport(), NOW_MS - 20.0, NOW_MS)
        return endpoint

    def test_it_gets_a_small_part_of_the_requests(self) -> None:
        failing, working = self.endpoint("failing"), self.endpoint("working")
        for number in range(12):
            at_ms = NOW_MS + 10.0 * number
            if number % 2:
                failing.record_failure(Failure(Code.SHED), at_ms, at_ms + 1.0)
            else:
                failing.record_reply(LoadReport(), at_ms - 20.0, at_ms)
            working.record_reply(LoadReport(), at_ms - 20.0, at_ms)
        choose = make_weighted_choice("milano", Random(1))
        later_ms = NOW_MS + 1_100.0

        chosen = [choose([failing, working], (), later_ms) for _ in range(1_000)]

        assert Counter(e.name for e in chosen if e is not None)["failing"] < 250

    def test_a_lost_reply_counts_as_a_failure(self) -> None:
        endpoint = self.endpoint("failing")
        for _ in range(5):
            endpoint.record_failure(
                Failure(Code.CONNECTION_LOST, RunStatus.UNKNOWN), NOW_MS, NOW_MS + 1.0
            )

        assert endpoint.success_rate.rate_at(NOW_MS + 1.0) < 0.5

"""Tests of which endpoints count as slow beside their replicas."""

from radishmount.endpoints import Endpoint, find_slow_endpoints
from radishmount.publication import EndpointSpec


NOW_MS = 10_000.0


def replica(name: str, latency_ms: float | None, open_since_ms: float | None = None) -> Endpoint:
    """Return an endpoint with a latency, and with an exchange that is still open."""
    endpoint = Endpoint(EndpointSpec(name, "milano", "127.0.0.1:80"), slots=2)
    if latency_ms is not None:
        endpoint.latency.add(latency_ms, NOW_MS)
    if open_since_ms is not None:
        endpoint.sent_at_ms_by_exchange[1] = open_since_ms
    return endpoint


def slow(*replicas: Endpoint) -> set[str]:
    """Return the names of the slow ones."""
    return {hint.endpoint for hint in find_slow_endpoints(replicas, NOW_MS)}


class TestSlowEndpoints:
    """Slow is told by comparison, and by answers that do not come."""

    def test_one_that_is_ten_times_slower(self) -> None:
        assert slow(replica("a", 20.0), replica("b", 24.0), replica("c", 200.0)) == {"c"}

    def test_replicas_that_differ_in_speed_are_not_slow(self) -> None:
        assert slow(replica("a", 20.0), replica("b", 30.0), replica("c", 40.0)) == set()

    def test_all_slow_alike_blames_nobody(self) -> None:
        assert slow(replica("a", 300.0), replica("b", 310.0)) == set()

    def test_a_silent_one_is_known_before_any_time_out(self) -> None:
        assert slow(replica("a", 20.0), replica("b", 22.0, NOW_MS - 200.0)) == {"b"}

    def test_a_usual_pause_is_not_told(self) -> None:
        assert slow(replica("a", 20.0), replica("b", 22.0, NOW_MS - 120.0)) == set()

    def test_nothing_is_said_without_a_comparison(self) -> None:
        assert slow(replica("a", 500.0)) == set()
        assert slow(replica("a", None), replica("b", None)) == set()

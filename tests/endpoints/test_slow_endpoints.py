"""Which endpoints count as slow compared with the other replicas of their service."""

from radishmount.endpoints import Endpoint, find_slow_endpoints
from radishmount.publication import EndpointSpec


NOW_MS = 10_000.0


def replica(name: str, latency_ms: float | None, open_since_ms: float | None = None) -> Endpoint:
    """Return an endpoint with a latency, and an exchange in flight since `open_since_ms`."""
    endpoint = Endpoint(EndpointSpec(name, "milano", "127.0.0.1:80"), slots=2)
    if latency_ms is not None:
        endpoint.latency.add(latency_ms, NOW_MS)
    if open_since_ms is not None:
        endpoint.sent_at_ms_by_exchange[1] = open_since_ms
    return endpoint


def slow_names(*replicas: Endpoint) -> set[str]:
    """Return the names of the replicas that count as slow."""
    return {hint.endpoint for hint in find_slow_endpoints(replicas, NOW_MS)}


class TestSlowEndpoints:
    """Replicas are compared by latency and by the age of an exchange in flight."""

    def test_a_replica_that_is_ten_times_slower_is_slow(self) -> None:
        assert slow_names(replica("a", 20.0), replica("b", 24.0), replica("c", 200.0)) == {"c"}

    def test_replicas_that_differ_little_are_not_slow(self) -> None:
        assert slow_names(replica("a", 20.0), replica("b", 30.0), replica("c", 40.0)) == set()

    def test_no_replica_is_slow_where_all_are_alike(self) -> None:
        assert slow_names(replica("a", 300.0), replica("b", 310.0)) == set()

    def test_a_silent_replica_is_slow_before_any_timeout(self) -> None:
        assert slow_names(replica("a", 20.0), replica("b", 22.0, NOW_MS - 200.0)) == {"b"}

    def test_an_ordinary_pause_does_not_count(self) -> None:
        assert slow_names(replica("a", 20.0), replica("b", 22.0, NOW_MS - 120.0)) == set()

    def test_no_replica_is_slow_without_another_to_compare(self) -> None:
        assert slow_names(replica("a", 500.0)) == set()
        assert slow_names(replica("a", None), replica("b", None)) == set()

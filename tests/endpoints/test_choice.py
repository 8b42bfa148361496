"""Load balancing: own measurements outweigh the reports of endpoints."""

from collections import Counter
from random import Random

from radishmount.codes import Code
from radishmount.endpoints import (
    Endpoint,
    Failure,
    LoadReport,
    make_least_time_choice,
    make_weighted_choice,
)
from radishmount.policy import QueryPolicy
from radishmount.publication import EndpointSpec


NOW_MS = 100_000.0
OWN_DATA_CENTRE = "milano"


def replica(name: str, data_centre: str = OWN_DATA_CENTRE, latency_ms: float = 10.0) -> Endpoint:
    endpoint = Endpoint(EndpointSpec(name, data_centre, "127.0.0.1:80"), slots=2)
    endpoint.record_report(LoadReport(slots=2, versions=frozenset({1})), NOW_MS, NOW_MS)
    endpoint.available_since_ms = 0.0
    endpoint.latency.add(latency_ms, NOW_MS)
    return endpoint


def choices_by_name(endpoints: list[Endpoint], policy: QueryPolicy | None = None) -> Counter[str]:
    choose = make_least_time_choice(OWN_DATA_CENTRE, Random(7), policy or QueryPolicy())
    chosen = [choose(endpoints, (), NOW_MS) for _ in range(1_000)]
    return Counter(endpoint.name for endpoint in chosen if endpoint is not None)


class TestChoice:
    """The replica with the least expected time to completion is chosen."""

    def test_equal_replicas_share_the_requests(self) -> None:
        counts = choices_by_name([replica("a"), replica("b"), replica("c")])

        assert min(counts.values()) > 250

    def test_replicas_in_the_own_data_centre_are_preferred(self) -> None:
        endpoints = [replica("a", "torino"), replica("b"), replica("c", "verona")]

        assert choices_by_name(endpoints) == {"b": 1_000}
        assert len(choices_by_name(endpoints, QueryPolicy(own_data_centre_first=False))) == 3

    def test_requests_of_this_instance_count_at_once(self) -> None:
        busy = replica("a")
        busy.request_submitted()

        assert choices_by_name([busy, replica("b")]) == {"b": 1_000}

    def test_reported_load_counts_less_with_its_age(self) -> None:
        reported_busy = replica("a", latency_ms=9.0)
        reported_busy.load_of_others = 2

        assert choices_by_name([reported_busy, replica("b")]) == {"b": 1_000}
        reported_busy.reported_at_ms = NOW_MS - 1_900.0
        assert choices_by_name([reported_busy, replica("b")]) == {"a": 1_000}

    def test_a_false_report_of_no_load_does_not_outweigh_latency(self) -> None:
        misreporting = replica("a", latency_ms=60.0)
        truthful = replica("b")
        truthful.load_of_others = 2

        assert choices_by_name([misreporting, truthful]) == {"b": 1_000}

    def test_reported_slots_beyond_the_published_ones_are_ignored(self) -> None:
        misreporting = replica("a")
        misreporting.report = LoadReport(slots=1_000, versions=frozenset({1}))

        assert misreporting.usable_slots == 2

    def test_a_cancelled_straggler_counts_as_slow(self) -> None:
        straggler = replica("a")
        straggler.record_failure(Failure(Code.CANCELLED), NOW_MS - 100.0, NOW_MS)

        assert choices_by_name([straggler, replica("b")]) == {"b": 1_000}

    def test_the_latency_estimate_decays_towards_the_fastest_replica(self) -> None:
        once_slow = replica("a", latency_ms=10.5)

        assert once_slow.latency.decayed_towards(10.0, NOW_MS) == 10.5
        assert once_slow.latency.decayed_towards(10.0, NOW_MS + 60_000.0) < 10.001

    def test_a_new_endpoint_gets_a_growing_share(self) -> None:
        new = replica("a", latency_ms=5.0)
        endpoints = [new, replica("b")]
        counts = []
        for age_ms in (0.0, 2_500.0, 5_000.0):
            new.available_since_ms = NOW_MS - age_ms
            counts.append(choices_by_name(endpoints)["a"])

        assert 50 < counts[0] < 150
        assert 450 < counts[1] < 650
        assert counts[2] == 1_000

    def test_an_ejected_endpoint_is_chosen_only_if_no_other_is_left(self) -> None:
        ejected = replica("a", latency_ms=1.0)
        ejected.ejection.begin(NOW_MS)

        assert choices_by_name([ejected, replica("b")]) == {"b": 1_000}
        assert choices_by_name([ejected]) == {"a": 1_000}

    def test_leaving_endpoints_and_those_with_expired_health_are_not_chosen(self) -> None:
        expired = replica("a")
        expired.reported_at_ms = NOW_MS - 2_001.0
        leaving = replica("b")
        leaving.set_listed_as_leaving(True, NOW_MS)

        assert choices_by_name([expired, leaving]) == {}


class TestWeightedChoice:
    """Pattern: every shard has replicas in several data centres, all of them alike."""

    def share_in_own_data_centre(self, endpoints: list[Endpoint]) -> float:
        """Return the share of requests that stay in the data centre of the instance."""
        choose = make_weighted_choice(OWN_DATA_CENTRE, Random(7))
        chosen = [choose(endpoints, (), NOW_MS) for _ in range(2_000)]
        own = [e for e in chosen if e is not None and e.spec.data_centre == OWN_DATA_CENTRE]
        return len(own) / len(chosen)

    def test_most_requests_stay_in_the_own_data_centre(self) -> None:
        """What crosses is dear, and a round trip between data centres adds 6 ms here."""
        far = [replica("b", "torino", 46.0), replica("c", "verona", 46.0)]

        assert self.share_in_own_data_centre([replica("a", latency_ms=40.0), *far]) > 0.85

    def test_requests_leave_a_slow_replica_of_the_own_data_centre(self) -> None:
        far = [replica("b", "torino", 46.0), replica("c", "verona", 46.0)]

        assert self.share_in_own_data_centre([replica("a", latency_ms=400.0), *far]) < 0.05

    def test_requests_leave_a_replica_with_a_queue(self) -> None:
        full = replica("a", latency_ms=40.0)
        full.load_of_others = 8
        far = [replica("b", "torino", 46.0), replica("c", "verona", 46.0)]

        assert self.share_in_own_data_centre([full, *far]) < 0.25

"""The choice among replicas: what was seen here goes before what endpoints report."""

from collections import Counter
from random import Random

from radishmount.codes import Code
from radishmount.endpoints import Endpoint, Failure, LoadReport, make_least_time_choice
from radishmount.policy import QueryPolicy
from radishmount.publication import EndpointSpec


NOW_MS = 100_000.0
OWN = "milano"


def replica(name: str, data_centre: str = OWN, latency_ms: float = 10.0) -> Endpoint:
    endpoint = Endpoint(EndpointSpec(name, data_centre, "127.0.0.1:80"), slots=2)
    endpoint.record_report(LoadReport(slots=2, versions=frozenset({1})), NOW_MS, NOW_MS)
    endpoint.available_since_ms = 0.0
    endpoint.latency.add(latency_ms, NOW_MS)
    return endpoint


def shares(endpoints: list[Endpoint], policy: QueryPolicy | None = None) -> Counter[str]:
    choose = make_least_time_choice(OWN, Random(7), policy or QueryPolicy())
    picked = [choose(endpoints, (), NOW_MS) for _ in range(1_000)]
    return Counter(endpoint.name for endpoint in picked if endpoint is not None)


class TestChoice:
    """Lowest expected completion among a few replicas."""

    def test_equal_replicas_share_the_work(self) -> None:
        counts = shares([replica("a"), replica("b"), replica("c")])

        assert min(counts.values()) > 250

    def test_the_own_data_centre_goes_first(self) -> None:
        endpoints = [replica("a", "torino"), replica("b"), replica("c", "verona")]

        assert shares(endpoints) == {"b": 1_000}
        assert len(shares(endpoints, QueryPolicy(own_data_centre_first=False))) == 3

    def test_work_of_this_instance_counts_at_once(self) -> None:
        busy = replica("a")
        busy.request_submitted()

        assert shares([busy, replica("b")]) == {"b": 1_000}

    def test_reports_fade_with_their_age(self) -> None:
        told_busy = replica("a", latency_ms=9.0)
        told_busy.load_of_others = 2

        assert shares([told_busy, replica("b")]) == {"b": 1_000}
        told_busy.reported_at_ms = NOW_MS - 1_900.0
        assert shares([told_busy, replica("b")]) == {"a": 1_000}

    def test_a_false_report_of_no_load_does_not_hide_latency(self) -> None:
        liar = replica("a", latency_ms=60.0)
        honest = replica("b")
        honest.load_of_others = 2

        assert shares([liar, honest]) == {"b": 1_000}

    def test_reported_slots_beyond_the_published_ones_are_not_believed(self) -> None:
        liar = replica("a")
        liar.report = LoadReport(slots=1_000, versions=frozenset({1}))

        assert liar.usable_slots == 2

    def test_an_abandoned_straggler_counts_as_slow(self) -> None:
        straggler = replica("a")
        straggler.record_failure(Failure(Code.CANCELLED), NOW_MS - 100.0, NOW_MS)

        assert shares([straggler, replica("b")]) == {"b": 1_000}

    def test_old_slowness_is_forgotten(self) -> None:
        once_slow = replica("a", latency_ms=10.5)

        assert once_slow.latency.decayed_towards(10.0, NOW_MS) == 10.5
        assert once_slow.latency.decayed_towards(10.0, NOW_MS + 60_000.0) < 10.001

    def test_a_new_endpoint_takes_a_growing_share(self) -> None:
        new = replica("a", latency_ms=5.0)
        endpoints = [new, replica("b")]
        counts = []
        for age_ms in (0.0, 2_500.0, 5_000.0):
            new.available_since_ms = NOW_MS - age_ms
            counts.append(shares(endpoints)["a"])

        assert 50 < counts[0] < 150
        assert 450 < counts[1] < 650
        assert counts[2] == 1_000

    def test_an_ejected_endpoint_is_the_last_resort(self) -> None:
        ejected = replica("a", latency_ms=1.0)
        ejected.ejection.begin(NOW_MS)

        assert shares([ejected, replica("b")]) == {"b": 1_000}
        assert shares([ejected]) == {"a": 1_000}

    def test_old_evidence_and_leaving_endpoints_get_nothing(self) -> None:
        old = replica("a")
        old.reported_at_ms = NOW_MS - 2_001.0
        leaving = replica("b")
        leaving.set_listed_as_leaving(True, NOW_MS)

        assert shares([old, leaving]) == {}

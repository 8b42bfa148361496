"""Load balancing: own measurements outweigh the reports of endpoints."""

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
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

    def play(
        self, near: Endpoint, seconds: int, latency_ms: Callable[[float], float]
    ) -> list[bool]:
        """Send 20 requests a second, and return whether each stays in the own data centre.

        `latency_ms` is what a request takes at home by the time when it is sent, and it is 31 ms
        elsewhere. All of them vary by a third of their work, and endpoints have four slots.
        """
        random = Random(11)
        endpoints = [near, replica("b", "torino", 31.0), replica("c", "verona", 31.0)]
        for endpoint in endpoints:
            endpoint.is_tracked_by_discovery = True
            endpoint.slots = 4
        choose = make_weighted_choice(OWN_DATA_CENTRE, Random(7))
        ends: list[tuple[float, int, Endpoint, float]] = []
        stayed = []
        for number in range(20 * seconds):
            now_ms = NOW_MS + 50.0 * number
            while ends and ends[0][0] <= now_ms:
                end_ms, _, endpoint, sent_at_ms = heappop(ends)
                endpoint.request_ended(sent_at_ms, end_ms)
                endpoint.sent_at_ms_by_exchange.pop(round(sent_at_ms))
                report = LoadReport(slots=4, in_flight=endpoint.in_flight)
                endpoint.record_reply(report, sent_at_ms, end_ms)
            chosen = choose(endpoints, (), now_ms)
            assert chosen is not None
            stayed.append(chosen is near)
            chosen.request_submitted()
            chosen.sent_at_ms_by_exchange[round(now_ms)] = now_ms
            took_ms = latency_ms(now_ms) if chosen is near else 31.0
            took_ms += 24.0 * (random.lognormvariate(0.0, 0.3) - 1.0)
            heappush(ends, (now_ms + took_ms, number, chosen, now_ms))
        return stayed

    def test_pauses_and_ordinary_latencies_send_nothing_away(self) -> None:
        """Pattern: equal replicas in calm, each of which pauses for 150 ms every 3.6 s."""

        def latency_ms(now_ms: float) -> float:
            return 24.0 + max(0.0, 150.0 - now_ms % 3_600.0)

        stayed = self.play(replica("a", latency_ms=24.0), 120, latency_ms)

        assert sum(stayed) >= 0.99 * len(stayed)

    def test_requests_leave_a_slow_replica_and_return_when_it_recovers(self) -> None:
        """Failure: the replica of the own data centre is ten times slower for 8 s."""

        def latency_ms(now_ms: float) -> float:
            return 240.0 if 4_000.0 <= now_ms - NOW_MS < 12_000.0 else 24.0

        near = replica("a", latency_ms=24.0)
        changes: list[str] = []
        near.on_change = lambda endpoint, change, cause: changes.append(change)

        stayed = self.play(near, 24, latency_ms)

        moves = [change for change in changes if "held back" not in change]
        assert moves == ["left for other data centres", "used again"]
        assert sum(stayed[100:240]) < 0.1 * 140
        assert 0 < sum(stayed[160:240]) < 10
        assert sum(stayed[-160:]) > 0.99 * 160

    def test_a_replica_that_fails_half_of_its_requests_keeps_hardly_any(self) -> None:
        failing = replica("a", latency_ms=24.0)
        far = [replica("b", "torino", 31.0), replica("c", "verona", 31.0)]
        shares = []
        for endpoint in (failing, *far):
            for _ in range(4):
                endpoint.success_rate.record_success(NOW_MS)
                endpoint.success_rate.record_failure(NOW_MS)
            shares.append(self.share_in_own_data_centre([failing, *far]))

        assert shares[0] < 0.05
        assert shares[-1] == 1.0  # they all fail, so nothing is gained elsewhere

    def test_the_share_that_leaves_grows_with_the_queue_and_ends_when_all_have_one(self) -> None:
        """Pattern: a load that fills the replicas of one data centre, then those elsewhere too."""
        shares = []
        for load in (0, 2, 4, 5, 6):
            near = replica("a", latency_ms=40.0)
            near.load_of_others = load
            far = [replica("b", "torino", 46.0), replica("c", "verona", 46.0)]
            shares.append(self.share_in_own_data_centre([near, *far]))
        for endpoint in far:
            endpoint.load_of_others = 6

        assert shares == sorted(shares, reverse=True)
        assert shares[0] == shares[1] == 1.0
        assert 0.3 < shares[2] < 0.8
        assert shares[-1] < 0.05
        assert self.share_in_own_data_centre([near, *far]) == 1.0

    def test_a_lost_data_centre_leaves_the_choice_to_the_expected_times(self) -> None:
        """Failure: the replica of the own data centre is lost and has not been ejected yet."""
        lost = replica("a", latency_ms=24.0)
        for _ in range(2):
            lost.record_connection_failure(Failure(Code.NOT_CONNECTED), NOW_MS)
        near, busy = replica("b", "torino", 31.0), replica("c", "verona", 31.0)
        busy.load_of_others = 4
        choose = make_weighted_choice(OWN_DATA_CENTRE, Random(7))
        chosen = [choose([lost, near, busy], (), NOW_MS) for _ in range(1_000)]

        assert chosen.count(lost) < 10
        assert chosen.count(near) > 5 * chosen.count(busy)

"""All instances together send a cold endpoint no more than its rate, in any one second."""

from random import Random

import pytest

from radishmount.endpoints import ColdRateSettings, Endpoint, KnownInstances, LoadReport
from radishmount.endpoints._cold_rate import (
    KEPT_MS,
    LEARNING_MS,
    ColdRate,
    cold_slots,
    total_cold_slots,
)
from radishmount.publication import EndpointSpec


STEP_MS = 10.0
RATE_PER_S = 10.0
SETTINGS = ColdRateSettings(ratio=1.5, slack=5.0)
BOUND = 20


class TestKnownInstances:
    """Names stay known for a time from when they left the list, also in a calm fleet."""

    def test_a_name_that_was_listed_until_now_stays_known(self) -> None:
        """Guards against a list that is seldom applied, by which a lost name looks old at once."""
        known = KnownInstances("a", 0.0)
        known.apply_list(["a", "b"], 0.0)
        known.apply_list(["a"], KEPT_MS + 1_000.0)
        known_at_once = set(known.listed_at_ms_by_name)
        known.apply_list(["a"], 2.0 * KEPT_MS + 2_000.0)

        assert (known_at_once, set(known.listed_at_ms_by_name)) == ({"a", "b"}, {"a"})


class Fleet:
    """Instances that send one endpoint as much as each may; each arrival is noted by its time."""

    def __init__(self, count: int, cold_until_ms: float = 60_000.0) -> None:
        self.names = [f"e{n}" for n in range(count)]
        self.random = Random(7)
        self.now_ms = LEARNING_MS
        self.cold_until_ms = cold_until_ms
        self.arrived_at_ms: list[float] = []
        self.ends: list[tuple[float, Endpoint]] = []
        self.endpoints = {name: self.start(name, 0.0) for name in self.names}
        for name in self.names:
            self.list(name, self.names)

    def start(self, name: str, at_ms: float) -> Endpoint:
        """Return the endpoint as an instance sees it that has just started."""
        endpoint = Endpoint(EndpointSpec("s-a", "milano", "10.0.0.1:1"), 4)
        endpoint.is_tracked_by_discovery = True
        total = total_cold_slots(RATE_PER_S, SETTINGS)
        instances = KnownInstances(name, at_ms, has_seeds=len(self.names) > 1)
        endpoint.cold_rate = ColdRate("s-a", total, instances)
        endpoint.cold_rate.extend(self.cold_until_ms)
        return endpoint

    def list(self, name: str, names: list[str]) -> None:
        """Tell an instance which others are listed."""
        cold_rate = self.endpoints[name].cold_rate
        assert cold_rate is not None
        cold_rate.instances.apply_list(names, self.now_ms)

    def run(self, duration_ms: float) -> None:
        """Let every instance send whenever it may; requests are on their way for up to 0.9 s."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for at_ms, endpoint in [e for e in self.ends if e[0] <= self.now_ms]:
                self.ends.remove((at_ms, endpoint))
                endpoint.request_ended(at_ms, self.now_ms)
            for endpoint in self.endpoints.values():
                if endpoint.is_available(self.now_ms):
                    endpoint.request_submitted()
                    arrives_at_ms = self.now_ms + self.random.choice([1.0, 5.0, 900.0])
                    self.arrived_at_ms.append(arrives_at_ms)
                    self.ends.append((arrives_at_ms + 20.0, endpoint))

    def most_in_a_second(self) -> int:
        """Return the largest number of arrivals in any one second."""
        times = sorted(self.arrived_at_ms)
        return max(sum(start <= at < start + 1_000.0 for at in times) for start in times)


class TestColdRate:
    """The load is that of many instances, each of which always has a request for the endpoint."""

    @pytest.mark.parametrize("count", [1, 3, 12, 63])
    def test_no_second_exceeds_the_bound_and_the_rate_is_used(self, count: int) -> None:
        fleet = Fleet(count)
        fleet.run(8_000.0)

        assert RATE_PER_S / 2 <= fleet.most_in_a_second() <= BOUND

    def test_a_fleet_in_parts_stays_within_the_bound(self) -> None:
        """Guards against a part that takes over the shares of instances it no longer reaches."""
        fleet = Fleet(40)
        fleet.run(2_000.0)
        for name in fleet.names:
            side = fleet.names.index(name) % 2
            fleet.list(name, fleet.names[side::2])
        fleet.run(4_000.0)

        assert fleet.most_in_a_second() <= BOUND

    @pytest.mark.parametrize(("known", "alone_ms"), [(1, LEARNING_MS + 3_000.0), (2, 3_000.0)])
    def test_instances_that_start_again_stay_within_the_bound(
        self, known: int, alone_ms: float
    ) -> None:
        """Guards against a start that forgets what was sent before, and whom else there is."""
        fleet = Fleet(4)
        fleet.run(2_000.0)
        for name in fleet.names[:2]:
            fleet.endpoints[name] = fleet.start(name, fleet.now_ms)
            fleet.list(name, fleet.names[2:][: known - 1])
        fleet.run(alone_ms)
        for name in fleet.names[:2]:
            fleet.list(name, fleet.names)
        fleet.run(LEARNING_MS)

        assert fleet.most_in_a_second() <= BOUND
        assert all(e.cold_rate and e.cold_rate.ended_at_ms for e in fleet.endpoints.values())

    def test_requests_sent_before_it_turned_cold_count(self) -> None:
        """Guards against an endpoint that turns cold and gets the rate on top of what it had."""
        fleet = Fleet(1, cold_until_ms=0.0)
        endpoint = fleet.endpoints["e0"]
        fleet.run(1_000.0)
        endpoint.record_report(LoadReport(cold_ms=3_000.0), fleet.now_ms, fleet.now_ms)
        sent_before = len(fleet.arrived_at_ms)
        fleet.run(900.0)

        assert sent_before > BOUND
        assert len(fleet.arrived_at_ms) == sent_before

    @pytest.mark.parametrize(("count", "total"), [(1, 7), (3, 7), (7, 7), (30, 7), (5, 0)])
    def test_shares_add_up_to_the_whole(self, count: int, total: int) -> None:
        names = [f"e{n}" for n in range(count)]

        assert sum(cold_slots("s-a", name, names, total) for name in names) == total

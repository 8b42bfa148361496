"""Tests of the admission of forwarded requests, on virtual time, with endpoints that fill up."""

from math import inf
from random import Random

import pytest

from crowd_harness import Crowd, Kind, make_crowd
from fakes import virtual_clock
from radishmount.admission import RoomAdmission, RoomRequest, ServiceRoom
from radishmount.audit import AuditTrail
from radishmount.codes import Code, RunStatus
from radishmount.counters import Counters
from radishmount.routes import Route, WeightedService


pytestmark = pytest.mark.looptime

SHARDS = tuple(f"s{n}" for n in range(10))
MAX_INVERSION = 0.05  # by which a more urgent kind may be served less often than a less urgent one
MIN_SHARE_OF_ALL = 0.25  # of how often all are served


def search_kinds(times: float) -> list[Kind]:
    """Return searches of three priorities that go to the same shards, at `times` the usual rate."""

    def kind(priority: int, target_ms: float, min_share: float, work_ms: float) -> Kind:
        route = Route(
            f"p{priority}",
            "h",
            "/",
            priority=priority,
            target_latency_ms=target_ms,
            timeout_ms=3.5 * target_ms,
            shards=SHARDS,
            top_records=5,
            min_share=min_share,
        )
        return Kind(route, 30.0 * times, work_ms)

    return [kind(0, 228.0, 0.9, 22.5), kind(1, 90.0, 0.8, 7.5), kind(2, 500.0, 0.9, 22.5)]


def booking_kinds(per_s: float) -> list[Kind]:
    """Return requests of two priorities that may run once, and go to one service."""

    def kind(priority: int, target_ms: float) -> Kind:
        route = Route(
            f"p{priority}",
            "h",
            "/",
            idempotent=False,
            priority=priority,
            target_latency_ms=target_ms,
            timeout_ms=5.0 * target_ms,
            services=(WeightedService("s0"),),
        )
        return Kind(route, per_s, 90.0)

    return [kind(0, 400.0), kind(1, 500.0)]


def lose_endpoints(crowd: Crowd, *, lost: bool) -> None:
    """Make 13 of 30 endpoints unreachable: two of three at six shards, and one elsewhere."""
    for name, endpoint in crowd.endpoints_by_name.items():
        is_crowded = endpoint.service < "s6" and not name.endswith("-c")
        endpoint.unreachable = lost and (is_crowded or name == "s9-a")


def audit_changes(crowd: Crowd) -> list[str]:
    return [line.change for instance in crowd.instances for line in instance.audit.lines]


def assert_order_kept(ratios: list[float]) -> None:
    """Check the shares of the kinds that were served, the most urgent kind first."""
    assert ratios == pytest.approx(sorted(ratios, reverse=True), abs=MAX_INVERSION)


class TestCrush:
    """Pattern: endpoints are lost in mass while callers send four times as much."""

    async def test_urgent_searches_are_served_first_and_no_kind_starves(self) -> None:
        crowd = await make_crowd(len(SHARDS))
        await crowd.run(search_kinds(1.0), 2.0)
        lose_endpoints(crowd, lost=True)

        tallies = await crowd.run(search_kinds(4.0), 5.0)

        kinds = [tallies[name] for name in ("p0", "p1", "p2")]
        assert_order_kept([kind.in_time_ratio for kind in kinds])
        assert_order_kept([kind.served_ratio for kind in kinds])
        all_served = sum(k.in_time + k.late for k in kinds) / sum(k.sent for k in kinds)
        assert min(kind.served_ratio for kind in kinds) >= MIN_SHARE_OF_ALL * all_served

    async def test_bookings_are_refused_at_once_and_none_of_them_runs(self) -> None:
        crowd = await make_crowd(1, "abcd")
        await crowd.run(booking_kinds(35.0), 2.0)

        tallies = await crowd.run(booking_kinds(175.0), 5.0)

        assert_order_kept([tallies["p0"].in_time_ratio, tallies["p1"].in_time_ratio])
        assert max(tally.slowest_refusal_ms for tally in tallies.values()) <= 100.0
        ran_ids = [name for e in crowd.endpoints_by_name.values() for name in e.ran_ids]
        assert len(ran_ids) == len(set(ran_ids))
        assert crowd.refused_ids.isdisjoint(ran_ids)

    async def test_with_the_endpoints_back_everything_is_admitted_again(self) -> None:
        crowd = await make_crowd(len(SHARDS))
        await crowd.run(search_kinds(1.0), 2.0)
        lose_endpoints(crowd, lost=True)
        await crowd.run(search_kinds(4.0), 3.0)
        lose_endpoints(crowd, lost=False)
        await crowd.run(search_kinds(1.0), 3.0)

        tallies = await crowd.run(search_kinds(1.0), 2.0)

        assert sum(tally.refusals for tally in tallies.values()) == 0
        assert audit_changes(crowd).count("short of room") >= 1
        short, again = (audit_changes(crowd).count(c) for c in ("short of room", "has room again"))
        assert short == again


class TestNoRefusalWithRoom:
    """Requests that the endpoints can take are admitted, whatever is reported about them."""

    async def test_a_burst_that_fits_is_served(self) -> None:
        """Pattern: eight times the usual traffic, with all endpoints."""
        crowd = await make_crowd(len(SHARDS))
        await crowd.run(search_kinds(1.0)[:2], 2.0)

        tallies = await crowd.run(search_kinds(8.0)[:2], 3.0)

        assert [tally.in_time_ratio for tally in tallies.values()] == [1.0, 1.0]
        assert audit_changes(crowd) == []

    @pytest.mark.parametrize("false_since_start", [True, False])
    async def test_a_false_queue_refuses_nothing(self, false_since_start: bool) -> None:
        crowd = await make_crowd(1)
        for when in (True, False):
            if when is false_since_start:
                for endpoint in crowd.endpoints_by_name.values():
                    endpoint.false_queue = 40
            tallies = await crowd.run(booking_kinds(20.0), 3.0)

        assert [tally.refusals for tally in tallies.values()] == [0, 0]

    async def test_a_false_queue_beside_work_of_two_lengths_refuses_nothing(self) -> None:
        """Latencies of 10 and 90 ms at one endpoint vary as much as a queue would make them."""

        def kind(priority: int, target_ms: float, work_ms: float, timeout_ms: float) -> Kind:
            route = Route(
                f"p{priority}",
                "h",
                "/",
                priority=priority,
                target_latency_ms=target_ms,
                timeout_ms=timeout_ms,
                services=(WeightedService("s0"),),
            )
            return Kind(route, 50.0, work_ms)

        kinds = [kind(0, 120.0, 10.0, 500.0), kind(1, 150.0, 90.0, 800.0)]
        crowd = await make_crowd(1)
        for endpoint in crowd.endpoints_by_name.values():
            endpoint.false_queue = 40
        await crowd.run(kinds, 2.0)
        tallies = await crowd.run(kinds, 5.0)

        assert [tally.refusals for tally in tallies.values()] == [0, 0]


class TestRoomAdmission:
    """One decision: at `s0` a request waits 40 ms and works 20 ms, at `s1` nothing waits."""

    def make_admission(self) -> RoomAdmission:
        clock = virtual_clock()
        admission = RoomAdmission(lambda name: (), clock, Random(1), Counters(), AuditTrail(clock))
        for service, wait_ms in (("s0", 40.0), ("s1", 0.0)):
            admission.rooms_by_service[service] = ServiceRoom(20.0, wait_ms, evaluated_at_ms=inf)
        return admission

    def request(
        self, priority: int, *services: str, missing: int = 0, left_ms: float = 600.0
    ) -> RoomRequest:
        return RoomRequest(services, missing, priority, 100.0, virtual_clock().now_ms() + left_ms)

    async def test_only_kinds_that_compete_for_the_same_endpoints_matter(self) -> None:
        admit = self.make_admission().admit

        assert admit(self.request(0, "s0", "s1")) is None
        assert admit(self.request(1, "s1")) is None
        assert admit(self.request(1, "s0")) is None  # the first one, of a kind that has none
        refusal = admit(self.request(1, "s0"))
        assert refusal is not None
        assert (refusal.code, refusal.ran) == (Code.NO_ROOM, RunStatus.NOT_RUN)
        assert refusal.detail == "reserved, priority 1, s0: wait 40 ms, at most 28 ms"

    async def test_a_full_shard_that_may_be_left_out_does_not_count(self) -> None:
        admit = self.make_admission().admit

        assert admit(self.request(0, "s0", "s1", left_ms=30.0)) is None  # the first one
        assert admit(self.request(0, "s0", "s1", left_ms=30.0)) is not None
        for _ in range(2):
            assert admit(self.request(0, "s0", "s1", left_ms=30.0, missing=1)) is None

    async def test_a_short_kind_beside_a_long_one_is_not_late_by_the_work_of_the_other(
        self,
    ) -> None:
        """Pattern: work of 100 ms and of 5 ms at one service, with a queue that is hardly any."""
        admission = self.make_admission()
        admission.rooms_by_service["s0"] = ServiceRoom(100.0, 1.0, evaluated_at_ms=inf)

        assert all(admission.admit(self.request(0, "s0", left_ms=60.0)) is None for _ in range(20))

    async def test_refused_callers_return_at_different_times_while_they_can_wait(self) -> None:
        admission = self.make_admission()
        refusals = [admission.admit(self.request(0, "s0", left_ms=36.0)) for _ in range(21)]

        waits_ms = {refusal.retry_after_ms or 0.0 for refusal in refusals if refusal is not None}
        assert refusals[0] is None
        assert len(waits_ms) == 20
        assert 0.0 < min(waits_ms) <= max(waits_ms) <= 12.0

    async def test_repeats_stop_before_first_attempts_do(self) -> None:
        admission = self.make_admission()
        request = self.request(0, "s0")

        assert admission.admit(request) is None
        assert admission.withholds_repeat(request, "s0")
        assert not admission.withholds_repeat(request, "s1")

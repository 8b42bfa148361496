"""How much an endpoint takes well is learned from its replies, and followed both ways."""

import asyncio
from random import Random

import pytest

from forward_harness import forward_harness
from radishmount.endpoints import Endpoint, LoadReport, make_weighted_choice
from radishmount.publication import EndpointSpec


SLOTS = 4
STEP_MS = 50.0
AVERAGE_MS = 10.0


def replicas(count: int = 3) -> list[Endpoint]:
    """Return the replicas of one service."""
    endpoints = [
        Endpoint(EndpointSpec(f"e{n}", "milano", "127.0.0.1:1"), SLOTS) for n in range(count)
    ]
    for endpoint in endpoints:
        endpoint.is_tracked_by_discovery = True
        endpoint.latency.rise_weight = 0.5  # as the pool sets it for forwarded requests
        endpoint.kind_latencies = endpoints[0].kind_latencies
    return endpoints


class Replies:
    """Adds replies to endpoints, one each `STEP_MS`."""

    def __init__(self) -> None:
        self.now_ms = 1_000.0
        self.changes: list[tuple[str, str]] = []

    def add(
        self,
        endpoint: Endpoint,
        latency_ms: float,
        running: int = 1,
        kind: str = "",
        slowdown: float | None = None,
    ) -> None:
        """Add one reply, sent while `running` requests were at the endpoint."""
        self.now_ms += STEP_MS
        endpoint.on_change = lambda e, change, cause: self.changes.append((e.name, change))
        report = LoadReport(SLOTS, running - 1, 0, slowdown=slowdown)
        endpoint.record_reply(report, self.now_ms - latency_ms, self.now_ms, kind=kind)

    def add_rounds(self, rounds: int, endpoint: Endpoint, full_ms: float, **fields: float) -> None:
        """Add replies with each number of requests; latency rises to `full_ms` beyond two."""
        for _ in range(rounds):
            for running in range(1, SLOTS + 1):
                latency_ms = AVERAGE_MS if running <= 2 else full_ms
                self.add(endpoint, latency_ms, running, **fields)  # type: ignore[arg-type]


class TestEndpointCapacity:
    """The number of requests that an endpoint takes without slowing down."""

    def test_an_endpoint_that_slows_down_from_half_of_its_slots_on_gets_less(self) -> None:
        """Pattern: a burst on endpoints of which one slows down long before it is full."""
        replies, (early, late) = Replies(), replicas(2)
        for _ in range(10):
            replies.add_rounds(1, early, full_ms=2.0 * AVERAGE_MS)
            replies.add_rounds(1, late, full_ms=AVERAGE_MS)
        now_ms = replies.now_ms

        assert early.comfortable_requests(now_ms) == pytest.approx(SLOTS / 2, rel=0.05)
        assert late.comfortable_requests(now_ms) == SLOTS
        for endpoint in (early, late):
            endpoint.load_of_others, endpoint.reported_at_ms = 3, now_ms
        choose = make_weighted_choice("milano", Random(7))
        chosen = [choose((early, late), (), now_ms) for _ in range(2_000)]
        assert chosen.count(early) < 0.3 * len(chosen)

    def test_a_few_replies_change_nothing(self) -> None:
        replies, (endpoint, _) = Replies(), replicas(2)
        replies.add_rounds(4, endpoint, full_ms=5.0 * AVERAGE_MS)

        assert endpoint.comfortable_requests(replies.now_ms) == SLOTS

    def test_it_is_followed_back_within_seconds(self) -> None:
        replies, (endpoint, _) = Replies(), replicas(2)
        replies.add_rounds(10, endpoint, full_ms=2.0 * AVERAGE_MS)
        replies.add_rounds(40, endpoint, full_ms=AVERAGE_MS)

        assert endpoint.comfortable_requests(replies.now_ms) == SLOTS

    def test_what_is_known_fades_while_nothing_is_sent(self) -> None:
        replies, (endpoint, _) = Replies(), replicas(2)
        replies.add_rounds(10, endpoint, full_ms=2.0 * AVERAGE_MS)

        assert endpoint.comfortable_requests(replies.now_ms + 60_000.0) > 0.9 * SLOTS

    def test_a_busy_moment_of_the_machine_is_no_knee(self) -> None:
        replies, (endpoint, _) = Replies(), replicas(2)
        replies.add_rounds(10, endpoint, full_ms=AVERAGE_MS, slowdown=1.0)
        for _ in range(5):
            replies.add(endpoint, 3.0 * AVERAGE_MS, running=4, slowdown=3.0)

        assert endpoint.comfortable_requests(replies.now_ms) == SLOTS

    def test_a_constant_false_slowdown_hides_no_knee(self) -> None:
        replies, (endpoint, _) = Replies(), replicas(2)
        replies.add_rounds(10, endpoint, full_ms=2.0 * AVERAGE_MS, slowdown=9.0)

        assert endpoint.comfortable_requests(replies.now_ms) == SLOTS / 2


class TestOwnRequests:
    """The requests that this instance has in flight count whole."""

    def test_an_own_request_in_flight_counts_as_much_as_the_work(self) -> None:
        """Pattern: a burst that several instances spread over replicas that slow down early."""
        busy, free = replicas(2)
        for endpoint in (busy, free):
            endpoint.latency.add(AVERAGE_MS, 1_000.0)
        busy.request_submitted()

        choose = make_weighted_choice("milano", Random(7))
        chosen = [choose((busy, free), (), 1_000.0) for _ in range(2_000)]

        # Twice the time at a weight by the third power: one of nine.
        assert chosen.count(busy) / len(chosen) == pytest.approx(1.0 / 9.0, abs=0.03)


class TestKindsOfWork:
    """Replies are compared within their kind of work."""

    def test_an_endpoint_that_got_the_long_work_is_not_slower(self) -> None:
        """Pattern: one instance sends a replica long work by chance, and the others short work."""
        replies, (first, second, _) = Replies(), replicas()
        for _ in range(20):
            for endpoint in (first, second):
                replies.add(endpoint, 5.0, kind="short")
                replies.add(endpoint, 15.0, kind="long")
        for _ in range(20):
            replies.add(first, 15.0, kind="long")
            replies.add(second, 5.0, kind="short")

        assert abs(first.capacity.slowness - second.capacity.slowness) < 0.2


class TestHeldBack:
    """Operators are told which endpoints take less, once for each change."""

    def test_a_replica_that_turns_slow_and_recovers(self) -> None:
        """Pattern: one replica is eight times slower for six seconds."""
        replies, endpoints = Replies(), replicas()
        for factor, rounds in ((1.0, 20), (8.0, 40), (1.0, 120)):
            for _ in range(rounds):
                for endpoint in endpoints:
                    slow = factor if endpoint is endpoints[1] else 1.0
                    replies.add(endpoint, slow * AVERAGE_MS)
            if factor > 1.0:
                assert endpoints[1].capacity.held_back_since_ms is not None

        assert replies.changes == [("e1", "held back"), ("e1", "no longer held back")]
        assert endpoints[1].capacity.held_back_since_ms is None

    def test_a_replica_with_a_knee_that_turns_slow_shows_after_a_few_replies(self) -> None:
        """Pattern: the slow one had a knee, which must not pass for the cause of late replies."""
        replies, endpoints = Replies(), replicas()
        for endpoint in endpoints:
            replies.add_rounds(10, endpoint, full_ms=2.0 * AVERAGE_MS)
        for _ in range(4):
            replies.add(endpoints[1], 8.0 * AVERAGE_MS, running=4)

        latency_ms = endpoints[1].latency.value_ms
        assert latency_ms is not None and latency_ms > 6.0 * AVERAGE_MS

    def test_a_single_pause_is_no_change_of_speed(self) -> None:
        replies, endpoints = Replies(), replicas()
        for _ in range(30):
            for endpoint in endpoints:
                replies.add(endpoint, AVERAGE_MS)
        replies.add(endpoints[0], 250.0)

        assert endpoints[0].capacity.slowness < 1.2

    @pytest.mark.looptime
    async def test_the_pool_lists_those_held_back(self) -> None:
        async with forward_harness(1) as harness:
            harness.endpoints_by_name["s0-b"].service_ms = 80.0
            route = harness.single_route()
            for _ in range(60):
                await asyncio.gather(*(harness.send(route) for _ in range(9)))
                await asyncio.sleep(0.1)

            (row,) = harness.pool.held_back_endpoints()

            assert (row["endpoint"], row["service"]) == ("s0-b", "s0")
            assert row["slowness"] > 2.0
            assert harness.counters.value("endpoint_changes", "held back") == 1.0

"""One link: every attempt ends exactly once, and no connection is one too many."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import pytest
from result import Err

from fakes import FakeChannel, FakeEndpoint, SessionLog, virtual_clock
from radishmount.codes import Code, RunStatus
from radishmount.counters import Counters
from radishmount.endpoints import (
    Attempt,
    ConnectionPool,
    Endpoint,
    SearchTerms,
    SubRequest,
    SubRequestOutcome,
)
from radishmount.publication import EndpointSpec


pytestmark = pytest.mark.looptime

DEADLINE_MS = 1_000.0


@dataclass
class ConnectionPoolHarness:
    """A link over one fake endpoint, with every outcome that was delivered."""

    limit: int = 2
    fake: FakeEndpoint = field(init=False)
    endpoint: Endpoint = field(init=False)
    connection_pool: ConnectionPool = field(init=False)
    outcomes_by_attempt: dict[int, list[SubRequestOutcome]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Link to the fake."""
        self.clock = virtual_clock()
        self.fake = FakeEndpoint("e", SessionLog(self.clock), close_ms=5.0)
        self.endpoint = Endpoint(EndpointSpec("e", "milano", "127.0.0.1:80"), slots=2)
        self.counters = Counters()
        self.connection_pool = ConnectionPool(
            self.endpoint, lambda _: FakeChannel(self.fake), self.clock, self.counters, self.limit
        )

    async def start(self) -> "ConnectionPoolHarness":
        """Start the link and wait for its first probe."""
        self.connection_pool.start()
        await asyncio.sleep(0.05)
        return self

    def submit(self, number: int, **fields) -> Attempt:  # type: ignore[no-untyped-def]
        """Hand over one attempt."""
        now_ms = self.clock.now_ms()
        deadline_ms = fields.pop("deadline_ms", DEADLINE_MS)
        request = SubRequest("r", number, "shard", 1, now_ms + deadline_ms, SearchTerms("washi"))
        fields.setdefault("exchange_timeout_ms", 500.0)
        self.outcomes_by_attempt[number] = []
        attempt = Attempt(request, self.endpoint, self._deliver, now_ms, **fields)
        self.connection_pool.submit(attempt)
        return attempt

    def _deliver(self, attempt: Attempt, outcome: SubRequestOutcome) -> None:
        self.outcomes_by_attempt[attempt.request.attempt].append(outcome)

    def codes(self) -> list[list[str]]:
        """Return what was delivered for each attempt, in their order."""
        return [
            [o.err_value.code.name if isinstance(o, Err) else "OK" for o in outcomes]
            for outcomes in self.outcomes_by_attempt.values()
        ]


class TestDelivery:
    """Every attempt that was handed over is delivered exactly once."""

    async def test_more_attempts_than_connections(self) -> None:
        world = await ConnectionPoolHarness().start()
        for number in range(6):
            world.submit(number)
        await asyncio.sleep(0.2)

        assert world.codes() == [["OK"]] * 6
        assert world.endpoint.in_flight == 0
        await world.connection_pool.stop()

    async def test_stop_delivers_what_waits_and_what_is_sent(self) -> None:
        world = await ConnectionPoolHarness().start()
        for number in range(6):
            world.submit(number)
        await asyncio.sleep(0.005)
        await world.connection_pool.stop()

        assert world.codes() == [["CANCELLED"]] * 2 + [["NOT_CONNECTED"]] * 4
        sent = world.outcomes_by_attempt[0][0].unwrap_err()
        assert sent.ran is RunStatus.UNKNOWN
        assert world.outcomes_by_attempt[5][0].unwrap_err().ran is RunStatus.NOT_RUN
        assert world.endpoint.in_flight == 0
        assert world.fake.connections == 0

    async def test_a_retired_link_cuts_no_exchange(self) -> None:
        world = await ConnectionPoolHarness().start()
        for number in range(3):
            world.submit(number)
        await asyncio.sleep(0.005)
        world.connection_pool.retire()
        world.submit(3)
        await asyncio.sleep(0.1)

        assert world.codes() == [["OK"], ["OK"], ["NOT_CONNECTED"], ["NOT_CONNECTED"]]
        assert world.connection_pool.tasks == set()
        assert world.fake.connections == 0

    async def test_no_connection_is_opened_where_none_is_allowed(self) -> None:
        world = await ConnectionPoolHarness(limit=0).start()
        world.submit(0)
        await asyncio.sleep(0.1)

        assert world.codes() == [["NOT_CONNECTED"]]
        assert world.fake.connections_opened == 0

    async def test_attempts_wait_no_longer_when_the_limit_falls_to_none(self) -> None:
        world = await ConnectionPoolHarness().start()
        for number in range(4):
            world.submit(number)
        await asyncio.sleep(0.005)
        world.connection_pool.set_connection_limit(0)
        await asyncio.sleep(0.1)

        assert world.codes() == [["OK"], ["OK"], ["NOT_CONNECTED"], ["NOT_CONNECTED"]]
        assert world.fake.connections == 0

    async def test_attempts_are_sent_when_the_limit_falls_to_one(self) -> None:
        world = await ConnectionPoolHarness().start()
        for number in range(6):
            world.submit(number)
        await asyncio.sleep(0.005)
        world.connection_pool.set_connection_limit(1)
        await asyncio.sleep(0.1)

        assert world.codes() == [["OK"]] * 6
        assert world.fake.connections == 1
        await world.connection_pool.stop()

    async def test_cancel_after_the_end_changes_nothing(self) -> None:
        world = await ConnectionPoolHarness().start()
        attempt = world.submit(0)
        await asyncio.sleep(0.05)
        attempt.cancel()
        attempt.cancel()
        await asyncio.sleep(0.05)

        assert world.codes() == [["OK"]]
        await world.connection_pool.stop()

    async def test_cancel_while_waiting_leaves_the_queue_at_once(self) -> None:
        world = await ConnectionPoolHarness(limit=1).start()
        world.submit(0)
        waiting = world.submit(1)
        await asyncio.sleep(0.001)
        waiting.cancel()

        assert world.codes() == [[], ["CANCELLED"]]
        assert world.outcomes_by_attempt[1][0].unwrap_err().ran is RunStatus.NOT_RUN
        await world.connection_pool.stop()

    async def test_a_full_queue_refuses(self) -> None:
        world = await ConnectionPoolHarness(limit=1).start()
        for number in range(20):
            world.submit(number)

        assert world.codes()[-1] == ["QUEUE_FULL"]
        await world.connection_pool.stop()
        assert all(len(codes) == 1 for codes in world.codes())

    async def test_a_timed_out_exchange_may_have_run(self) -> None:
        world = await ConnectionPoolHarness().start()
        world.fake.service_ms = 500.0
        world.submit(0, deadline_ms=100.0)
        await asyncio.sleep(0.25)

        failure = world.outcomes_by_attempt[0][0].unwrap_err()
        assert (failure.code, failure.ran) == (Code.TIMED_OUT, RunStatus.UNKNOWN)
        await world.connection_pool.stop()


class TestConnections:
    """The endpoint never counts more connections than this instance may have."""

    async def test_a_closing_connection_counts_until_the_endpoint_has_closed(self) -> None:
        world = await ConnectionPoolHarness().start()
        world.fake.service_ms = 50.0
        world.fake.close_ms = 20.0
        for round_number in range(5):
            for number in range(4):
                attempt = world.submit(10 * round_number + number)
                asyncio.get_running_loop().call_later(0.010, attempt.cancel)
            await asyncio.sleep(0.015)
        await asyncio.sleep(0.5)

        assert world.fake.most_connections == 2
        assert all(len(codes) == 1 for codes in world.codes())
        await world.connection_pool.stop()

    async def test_a_silent_connection_is_closed_and_not_blamed_on_the_endpoint(self) -> None:
        world = await ConnectionPoolHarness(limit=1).start()
        world.fake.silence_open_connections()
        world.submit(0, exchange_timeout_ms=80.0)
        await asyncio.sleep(0.2)
        world.submit(1, exchange_timeout_ms=80.0)
        await asyncio.sleep(0.05)

        assert world.codes() == [["TIMED_OUT"], ["OK"]]
        assert world.counters.value("broken_connections", "TIMED_OUT") == 1
        assert world.endpoint.ejection.consecutive_failures == 0
        assert world.fake.most_connections == 1
        await world.connection_pool.stop()

    async def test_a_silent_endpoint_is_blamed_after_a_new_connection_fails(self) -> None:
        world = await ConnectionPoolHarness(limit=1).start()
        world.fake.silent = True
        world.submit(0, exchange_timeout_ms=80.0)
        await asyncio.sleep(0.7)

        assert world.codes() == [["TIMED_OUT"]]
        assert world.endpoint.ejection.consecutive_failures == 1
        await world.connection_pool.stop()

    async def test_a_reply_shortly_after_the_deadline_saves_the_connection(self) -> None:
        world = await ConnectionPoolHarness(limit=1).start()
        world.fake.service_ms = 150.0
        world.submit(0, deadline_ms=100.0)
        await asyncio.sleep(0.3)

        assert world.fake.connections_opened == 1
        assert world.endpoint.in_flight == 0
        await world.connection_pool.stop()

    @pytest.mark.parametrize(
        "altered",
        [{"request_id": "q"}, {"attempt": 7}, {"shard": "other"}, {"index_version": 2}],
        ids=lambda altered: next(iter(altered)),
    )
    async def test_a_reply_to_anything_else_is_refused(self, altered: dict[str, Any]) -> None:
        world = await ConnectionPoolHarness().start()
        world.fake.reply_overrides = altered
        world.submit(0)
        await asyncio.sleep(0.1)

        assert world.codes() == [["BAD_REPLY"]]
        await world.connection_pool.stop()

    async def test_a_late_reply_reaches_no_other_request(self) -> None:
        world = await ConnectionPoolHarness(limit=1).start()
        world.fake.service_ms = 100.0
        first = world.submit(0)
        await asyncio.sleep(0.05)
        first.cancel()
        world.submit(1)
        await asyncio.sleep(0.3)

        assert world.codes() == [["CANCELLED"], ["OK"]]
        assert world.outcomes_by_attempt[1][0].unwrap().attempt == 1
        assert world.fake.connections_opened == 2
        await world.connection_pool.stop()


class TestEvidence:
    """New work is sent only on evidence younger than 2 s."""

    async def test_probes_keep_evidence_young_while_idle(self) -> None:
        world = await ConnectionPoolHarness().start()
        await asyncio.sleep(10.0)

        assert world.endpoint.is_health_fresh(world.clock.now_ms())
        assert 6 <= world.fake.probes <= 8
        await world.connection_pool.stop()

    async def test_probes_keep_evidence_young_while_every_exchange_is_long(self) -> None:
        world = await ConnectionPoolHarness().start()
        world.fake.service_ms = 5_000.0
        for number in range(4):
            world.submit(number, deadline_ms=20_000.0, exchange_timeout_ms=20_000.0)
        for _ in range(10):
            await asyncio.sleep(1.0)
            assert world.endpoint.is_health_fresh(world.clock.now_ms())

        assert world.endpoint.ejection.consecutive_failures == 0
        await world.connection_pool.stop()

    async def test_old_evidence_is_renewed_by_a_probe_before_work_is_sent(self) -> None:
        world = await ConnectionPoolHarness().start()
        world.fake.draining = True
        world.endpoint.expire_health()
        world.submit(0)
        await asyncio.sleep(0.05)

        failure = world.outcomes_by_attempt[0][0].unwrap_err()
        assert (failure.code, failure.ran) == (Code.ENDPOINT_LEAVING, RunStatus.NOT_RUN)
        assert not [line for line in world.fake.log.lines if "<- r" in line]
        await world.connection_pool.stop()

    async def test_a_reply_that_lay_unread_during_a_pause_is_old_evidence(self) -> None:
        world = await ConnectionPoolHarness().start()
        endpoint = world.endpoint
        asked_at_ms = world.clock.now_ms()
        endpoint.record_report(world.fake.load(), asked_at_ms, asked_at_ms + 5_000.0)

        assert not endpoint.is_health_fresh(asked_at_ms + 5_000.0)
        await world.connection_pool.stop()

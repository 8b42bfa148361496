"""The connection pool of one endpoint: delivery of attempts, connection limit and health."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import pytest
from result import Err

from fakes import EventLog, FakeChannel, FakeEndpoint, virtual_clock
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
    """A connection pool for one fake endpoint, with every outcome that was delivered."""

    limit: int = 2
    fake: FakeEndpoint = field(init=False)
    endpoint: Endpoint = field(init=False)
    connection_pool: ConnectionPool = field(init=False)
    outcomes_by_attempt: dict[int, list[SubRequestOutcome]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Make the connection pool."""
        self.clock = virtual_clock()
        self.fake = FakeEndpoint("e", EventLog(self.clock), close_ms=5.0)
        self.endpoint = Endpoint(EndpointSpec("e", "milano", "127.0.0.1:80"), slots=2)
        self.counters = Counters()
        self.connection_pool = ConnectionPool(
            self.endpoint, lambda _: FakeChannel(self.fake), self.clock, self.counters, self.limit
        )

    async def start(self) -> "ConnectionPoolHarness":
        """Start the connection pool and wait for its first probe."""
        self.connection_pool.start()
        await asyncio.sleep(0.05)
        return self

    def submit(self, number: int, **fields) -> Attempt:  # type: ignore[no-untyped-def]
        """Submit one attempt."""
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
        """Return the codes that were delivered for each attempt, in the order of submission."""
        return [
            [o.err_value.code.name if isinstance(o, Err) else "OK" for o in outcomes]
            for outcomes in self.outcomes_by_attempt.values()
        ]


class TestDelivery:
    """Each submitted attempt has exactly one outcome delivered."""

    async def test_more_attempts_than_connections_are_all_answered(self) -> None:
        harness = await ConnectionPoolHarness().start()
        for number in range(6):
            harness.submit(number)
        await asyncio.sleep(0.2)

        assert harness.codes() == [["OK"]] * 6
        assert harness.endpoint.in_flight == 0
        await harness.connection_pool.stop()

    async def test_stopping_delivers_an_outcome_for_queued_and_sent_attempts(self) -> None:
        harness = await ConnectionPoolHarness().start()
        for number in range(6):
            harness.submit(number)
        await asyncio.sleep(0.005)
        await harness.connection_pool.stop()

        assert harness.codes() == [["CANCELLED"]] * 2 + [["NOT_CONNECTED"]] * 4
        sent = harness.outcomes_by_attempt[0][0].unwrap_err()
        assert sent.ran is RunStatus.UNKNOWN
        assert harness.outcomes_by_attempt[5][0].unwrap_err().ran is RunStatus.NOT_RUN
        assert harness.endpoint.in_flight == 0
        assert harness.fake.connections == 0

    async def test_a_cancellation_at_the_moment_of_the_timeout_raises_nothing(self) -> None:
        """Guards against attempts that run on because the cancellation of one before them failed.

        After a pause of the process, a timeout and the end of its request are due together.
        """
        harness = await ConnectionPoolHarness().start()
        harness.fake.silent = True
        attempt = harness.submit(0, exchange_timeout_ms=50.0)
        await asyncio.sleep(0.01)
        assert attempt.sent_at_ms is not None
        errors: list[BaseException] = []

        def cancel() -> None:
            try:
                attempt.cancel()
            except RuntimeError as error:
                errors.append(error)

        loop = asyncio.get_running_loop()
        # Timers that are due together run one after the other, before the task that they wake.
        for _ in range(3):
            loop.call_at((attempt.sent_at_ms + 50.0) / 1000.0, cancel)
        await asyncio.sleep(0.1)

        assert errors == []
        assert len(harness.outcomes_by_attempt[0]) == 1
        await harness.connection_pool.stop()

    async def test_an_unexpected_error_counts_against_the_endpoint(self) -> None:
        """Guards against an endpoint that fails at once by such errors and looks fast."""
        harness = ConnectionPoolHarness()

        async def fail(request: object, remaining_ms: float) -> SubRequestOutcome:
            raise LookupError("unexpected")

        channel = FakeChannel(harness.fake)
        channel.exchange = fail  # type: ignore[method-assign]
        harness.connection_pool.open_channel = lambda address: channel
        await harness.start()
        harness.submit(0)
        await asyncio.sleep(0.2)

        assert harness.codes() == [["INTERNAL"]]
        assert harness.endpoint.success_rate.rate_at(harness.clock.now_ms()) < 1.0
        assert harness.endpoint.latency.value_ms is None
        await harness.connection_pool.stop()

    async def test_a_retired_pool_finishes_its_exchanges(self) -> None:
        harness = await ConnectionPoolHarness().start()
        for number in range(3):
            harness.submit(number)
        await asyncio.sleep(0.005)
        harness.connection_pool.retire()
        harness.submit(3)
        await asyncio.sleep(0.1)

        assert harness.codes() == [["OK"], ["OK"], ["NOT_CONNECTED"], ["NOT_CONNECTED"]]
        assert harness.connection_pool.tasks == set()
        assert harness.fake.connections == 0

    async def test_no_connection_is_opened_where_none_is_allowed(self) -> None:
        harness = await ConnectionPoolHarness(limit=0).start()
        harness.submit(0)
        await asyncio.sleep(0.1)

        assert harness.codes() == [["NOT_CONNECTED"]]
        assert harness.fake.connections_opened == 0

    async def test_queued_attempts_fail_when_the_limit_falls_to_zero(self) -> None:
        harness = await ConnectionPoolHarness().start()
        for number in range(4):
            harness.submit(number)
        await asyncio.sleep(0.005)
        harness.connection_pool.set_connection_limit(0)
        await asyncio.sleep(0.1)

        assert harness.codes() == [["OK"], ["OK"], ["NOT_CONNECTED"], ["NOT_CONNECTED"]]
        assert harness.fake.connections == 0

    async def test_queued_attempts_are_sent_when_the_limit_falls_to_one(self) -> None:
        harness = await ConnectionPoolHarness().start()
        for number in range(6):
            harness.submit(number)
        await asyncio.sleep(0.005)
        harness.connection_pool.set_connection_limit(1)
        await asyncio.sleep(0.1)

        assert harness.codes() == [["OK"]] * 6
        assert harness.fake.connections == 1
        await harness.connection_pool.stop()

    async def test_cancelling_an_ended_attempt_has_no_effect(self) -> None:
        harness = await ConnectionPoolHarness().start()
        attempt = harness.submit(0)
        await asyncio.sleep(0.05)
        attempt.cancel()
        attempt.cancel()
        await asyncio.sleep(0.05)

        assert harness.codes() == [["OK"]]
        await harness.connection_pool.stop()

    async def test_cancelling_a_queued_attempt_removes_it_at_once(self) -> None:
        harness = await ConnectionPoolHarness(limit=1).start()
        harness.submit(0)
        waiting = harness.submit(1)
        await asyncio.sleep(0.001)
        waiting.cancel()

        assert harness.codes() == [[], ["CANCELLED"]]
        assert harness.outcomes_by_attempt[1][0].unwrap_err().ran is RunStatus.NOT_RUN
        await harness.connection_pool.stop()

    async def test_a_full_queue_refuses_attempts(self) -> None:
        harness = await ConnectionPoolHarness(limit=1).start()
        for number in range(20):
            harness.submit(number)

        assert harness.codes()[-1] == ["QUEUE_FULL"]
        await harness.connection_pool.stop()
        assert all(len(codes) == 1 for codes in harness.codes())

    async def test_a_timed_out_exchange_may_have_run(self) -> None:
        harness = await ConnectionPoolHarness().start()
        harness.fake.service_ms = 500.0
        harness.submit(0, deadline_ms=100.0)
        await asyncio.sleep(0.25)

        failure = harness.outcomes_by_attempt[0][0].unwrap_err()
        assert (failure.code, failure.ran) == (Code.TIMED_OUT, RunStatus.UNKNOWN)
        await harness.connection_pool.stop()


class TestConnections:
    """The endpoint never sees more connections than the limit, and broken ones are replaced."""

    async def test_a_closing_connection_counts_until_the_endpoint_has_closed_it(self) -> None:
        harness = await ConnectionPoolHarness().start()
        harness.fake.service_ms = 50.0
        harness.fake.close_ms = 20.0
        for round_number in range(5):
            for number in range(4):
                attempt = harness.submit(10 * round_number + number)
                asyncio.get_running_loop().call_later(0.010, attempt.cancel)
            await asyncio.sleep(0.015)
        await asyncio.sleep(0.5)

        assert harness.fake.max_connections == 2
        assert all(len(codes) == 1 for codes in harness.codes())
        await harness.connection_pool.stop()

    async def test_a_silent_connection_is_replaced_without_a_failure_of_the_endpoint(self) -> None:
        harness = await ConnectionPoolHarness(limit=1).start()
        harness.fake.silence_open_connections()
        harness.submit(0, exchange_timeout_ms=80.0)
        await asyncio.sleep(0.2)
        harness.submit(1, exchange_timeout_ms=80.0)
        await asyncio.sleep(0.05)

        assert harness.codes() == [["TIMED_OUT"], ["OK"]]
        assert harness.counters.value("broken_connections", "TIMED_OUT") == 1
        assert harness.endpoint.ejection.consecutive_failures == 0
        assert harness.fake.max_connections == 1
        await harness.connection_pool.stop()

    async def test_a_silent_endpoint_has_a_failure_once_a_new_connection_fails(self) -> None:
        harness = await ConnectionPoolHarness(limit=1).start()
        harness.fake.silent = True
        harness.submit(0, exchange_timeout_ms=80.0)
        await asyncio.sleep(0.7)

        assert harness.codes() == [["TIMED_OUT"]]
        assert harness.endpoint.ejection.consecutive_failures == 1
        await harness.connection_pool.stop()

    async def test_a_reply_shortly_after_the_deadline_keeps_the_connection_open(self) -> None:
        harness = await ConnectionPoolHarness(limit=1).start()
        harness.fake.service_ms = 150.0
        harness.submit(0, deadline_ms=100.0)
        await asyncio.sleep(0.3)

        assert harness.fake.connections_opened == 1
        assert harness.endpoint.in_flight == 0
        await harness.connection_pool.stop()

    @pytest.mark.parametrize(
        "overrides",
        [{"request_id": "q"}, {"attempt": 7}, {"shard": "other"}, {"index_version": 2}],
        ids=lambda overrides: next(iter(overrides)),
    )
    async def test_a_reply_that_does_not_match_its_request_is_refused(
        self, overrides: dict[str, Any]
    ) -> None:
        harness = await ConnectionPoolHarness().start()
        harness.fake.reply_overrides = overrides
        harness.submit(0)
        await asyncio.sleep(0.1)

        assert harness.codes() == [["BAD_REPLY"]]
        await harness.connection_pool.stop()

    async def test_a_late_reply_is_not_delivered_to_another_request(self) -> None:
        harness = await ConnectionPoolHarness(limit=1).start()
        harness.fake.service_ms = 100.0
        first = harness.submit(0)
        await asyncio.sleep(0.05)
        first.cancel()
        harness.submit(1)
        await asyncio.sleep(0.3)

        assert harness.codes() == [["CANCELLED"], ["OK"]]
        assert harness.outcomes_by_attempt[1][0].unwrap().attempt == 1
        assert harness.fake.connections_opened == 2
        await harness.connection_pool.stop()


class TestHealth:
    """Attempts are sent only where the health of the endpoint is at most 2 s old."""

    async def test_probes_keep_health_fresh_while_idle(self) -> None:
        harness = await ConnectionPoolHarness().start()
        await asyncio.sleep(10.0)

        assert harness.endpoint.is_health_fresh(harness.clock.now_ms())
        assert 6 <= harness.fake.probes <= 8
        await harness.connection_pool.stop()

    async def test_probes_keep_health_fresh_while_every_exchange_is_long(self) -> None:
        harness = await ConnectionPoolHarness().start()
        harness.fake.service_ms = 5_000.0
        for number in range(4):
            harness.submit(number, deadline_ms=20_000.0, exchange_timeout_ms=20_000.0)
        for _ in range(10):
            await asyncio.sleep(1.0)
            assert harness.endpoint.is_health_fresh(harness.clock.now_ms())

        assert harness.endpoint.ejection.consecutive_failures == 0
        await harness.connection_pool.stop()

    async def test_expired_health_is_refreshed_by_a_probe_before_an_attempt_is_sent(self) -> None:
        harness = await ConnectionPoolHarness().start()
        harness.fake.draining = True
        harness.endpoint.expire_health()
        harness.submit(0)
        await asyncio.sleep(0.05)

        failure = harness.outcomes_by_attempt[0][0].unwrap_err()
        assert (failure.code, failure.ran) == (Code.ENDPOINT_LEAVING, RunStatus.NOT_RUN)
        assert not [line for line in harness.fake.log.lines if "<- r" in line]
        await harness.connection_pool.stop()

    async def test_a_report_read_after_a_pause_does_not_make_health_fresh(self) -> None:
        harness = await ConnectionPoolHarness().start()
        endpoint = harness.endpoint
        sent_at_ms = harness.clock.now_ms()
        endpoint.record_report(harness.fake.load(), sent_at_ms, sent_at_ms + 5_000.0)

        assert not endpoint.is_health_fresh(sent_at_ms + 5_000.0)
        await harness.connection_pool.stop()

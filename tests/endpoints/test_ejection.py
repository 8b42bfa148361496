"""Ejection: its causes, the bound on ejected replicas, and recovery."""

import asyncio

import pytest

from fakes import QueryHarness, start_query_harness
from radishmount.codes import Code
from radishmount.endpoints import Ejection, Endpoint, Failure, LoadReport, max_ejected
from radishmount.policy import QueryPolicy
from radishmount.publication import EndpointSpec


def endpoint(**fields) -> Endpoint:  # type: ignore[no-untyped-def]
    return Endpoint(EndpointSpec("e", "milano", "127.0.0.1:80"), slots=2, **fields)


class TestEjectionCauses:
    """Only repeated connection failures, timeouts and lost exchanges eject an endpoint."""

    @pytest.mark.parametrize("code", [Code.TIMED_OUT, Code.CONNECTION_LOST, Code.NOT_CONNECTED])
    def test_connection_failures_and_timeouts_eject(self, code: Code) -> None:
        failing = endpoint()
        for _ in range(3):
            failing.record_connection_failure(Failure(code), 0.0)

        assert failing.ejection.ejected_since_ms == 0.0

    @pytest.mark.parametrize(
        "code", [Code.SHED, Code.ENDPOINT_ERROR, Code.WRONG_VERSION, Code.BAD_REPLY, Code.CANCELLED]
    )
    def test_other_failures_do_not_eject(self, code: Code) -> None:
        failing = endpoint()
        for _ in range(30):
            failing.record_connection_failure(Failure(code), 0.0)

        assert failing.ejection.ejected_since_ms is None

    def test_a_reply_between_failures_resets_the_count(self) -> None:
        failing = endpoint()
        for _ in range(10):
            failing.record_connection_failure(Failure(Code.TIMED_OUT), 0.0)
            failing.record_connection_failure(Failure(Code.TIMED_OUT), 0.0)
            failing.record_report(LoadReport(), 0.0, 0.0)

        assert failing.ejection.ejected_since_ms is None

    def test_lost_exchanges_eject_although_probes_are_answered(self) -> None:
        failing = endpoint()
        for _ in range(6):
            failing.record_lost_exchange(Failure(Code.CONNECTION_LOST), 0.0)
            failing.record_report(LoadReport(), 0.0, 0.0)

        assert failing.ejection.ejected_since_ms == 0.0


class TestRecovery:
    """An ejection ends after 5 s of replies without a failure."""

    def test_ejection_ends_after_steady_replies(self) -> None:
        ejection = Ejection()
        ejection.begin(0.0)

        assert not ejection.record_success(1_000.0)
        assert not ejection.record_success(5_999.0)
        assert ejection.record_success(6_000.0)

    def test_a_failure_restarts_the_recovery_time(self) -> None:
        ejection = Ejection()
        ejection.begin(0.0)
        ejection.record_success(1_000.0)
        ejection.record_failure(5_000.0)

        assert not ejection.record_success(6_000.0)
        assert not ejection.record_success(10_999.0)
        assert ejection.record_success(11_000.0)


class TestBound:
    """No more than half of a shard's replicas, rounded down, are ejected at once."""

    @pytest.mark.parametrize(("replicas", "allowed"), [(1, 0), (2, 1), (3, 1), (4, 2), (5, 2)])
    def test_at_most_half_rounded_down_may_be_ejected(self, replicas: int, allowed: int) -> None:
        assert max_ejected(replicas) == allowed

    @pytest.mark.looptime
    async def test_the_bound_holds_when_every_replica_fails(self) -> None:
        harness = await start_query_harness(services=1, replicas=3)
        for fake in harness.endpoints_by_name.values():
            fake.unreachable = True
        await asyncio.sleep(10.0)
        pool = harness.nodes_by_name["entry-a"].pool
        ejected = [
            e for e in pool.endpoints_of("catalogue-0") if e.ejection.ejected_since_ms is not None
        ]

        assert len(ejected) == 1
        await harness.stop()


async def count_failed_attempts(policy: QueryPolicy) -> float:
    """Return the failed attempts of a minute with one replica unreachable for 4 s of every 8 s."""
    harness: QueryHarness = await start_query_harness(services=1, replicas=3, policy=policy)
    fake = harness.endpoints_by_name["catalogue-0-0"]
    for second in range(60):
        fake.unreachable = second % 8 < 4
        for number in range(20):
            await harness.search(request_id=f"{second}-{number}")
            await asyncio.sleep(0.04)
    await harness.stop()
    return harness.nodes_by_name["entry-a"].counters.value("attempt_failures", "NOT_CONNECTED")


class TestSteadyRecovery:
    """Waiting for steady replies sends fewer attempts to an endpoint that fails on and off."""

    @pytest.mark.looptime
    async def test_fewer_attempts_fail_than_with_a_fixed_ejection_time(self) -> None:
        steady = await count_failed_attempts(QueryPolicy())
        fixed = await count_failed_attempts(QueryPolicy(steady_recovery=False))

        assert steady < fixed, (steady, fixed)

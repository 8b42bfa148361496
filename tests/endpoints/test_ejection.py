"""Ejection: for failures of connection and time, within a bound, until replies are steady."""

import asyncio

import pytest

from fakes import QueryHarness, start_query_harness
from radishmount.codes import Code
from radishmount.endpoints import Ejection, Endpoint, Failure, LoadReport, max_ejected
from radishmount.policy import QueryPolicy
from radishmount.publication import EndpointSpec


def endpoint(**fields) -> Endpoint:  # type: ignore[no-untyped-def]
    return Endpoint(EndpointSpec("e", "milano", "127.0.0.1:80"), slots=2, **fields)


class TestEndpointBlame:
    """Which failures count."""

    @pytest.mark.parametrize("code", [Code.TIMED_OUT, Code.CONNECTION_LOST, Code.NOT_CONNECTED])
    def test_failures_of_connection_and_time_eject(self, code: Code) -> None:
        blamed = endpoint()
        for _ in range(3):
            blamed.record_connection_failure(Failure(code), 0.0)

        assert blamed.ejection.ejected_since_ms == 0.0

    @pytest.mark.parametrize(
        "code", [Code.SHED, Code.ENDPOINT_ERROR, Code.WRONG_VERSION, Code.BAD_REPLY, Code.CANCELLED]
    )
    def test_other_failures_do_not(self, code: Code) -> None:
        blamed = endpoint()
        for _ in range(30):
            blamed.record_connection_failure(Failure(code), 0.0)

        assert blamed.ejection.ejected_since_ms is None

    def test_a_reply_between_failures_starts_the_count_again(self) -> None:
        blamed = endpoint()
        for _ in range(10):
            blamed.record_connection_failure(Failure(Code.TIMED_OUT), 0.0)
            blamed.record_connection_failure(Failure(Code.TIMED_OUT), 0.0)
            blamed.record_report(LoadReport(), 0.0, 0.0)

        assert blamed.ejection.ejected_since_ms is None

    def test_lost_exchanges_eject_although_probes_are_answered(self) -> None:
        blamed = endpoint()
        for _ in range(6):
            blamed.record_lost_exchange(Failure(Code.CONNECTION_LOST), 0.0)
            blamed.record_report(LoadReport(), 0.0, 0.0)

        assert blamed.ejection.ejected_since_ms == 0.0


class TestRecovery:
    """An ejection ends after replies have been steady."""

    def test_ends_after_steady_replies(self) -> None:
        ejection = Ejection()
        ejection.begin(0.0)

        assert not ejection.record_success(1_000.0)
        assert not ejection.record_success(5_999.0)
        assert ejection.record_success(6_000.0)

    def test_a_failure_starts_the_wait_again(self) -> None:
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
    def test_half_rounded_down(self, replicas: int, allowed: int) -> None:
        assert max_ejected(replicas) == allowed

    @pytest.mark.looptime
    async def test_holds_when_every_replica_fails(self) -> None:
        world = await start_query_harness(services=1, replicas=3)
        for fake in world.endpoints_by_name.values():
            fake.unreachable = True
        await asyncio.sleep(10.0)
        pool = world.nodes_by_name["entry-a"].pool
        ejected = [
            e for e in pool.endpoints_of("catalogue-0") if e.ejection.ejected_since_ms is not None
        ]

        assert len(ejected) == 1
        await world.stop()


async def lost_attempts(policy: QueryPolicy) -> float:
    """Return the failed attempts of a minute in which one replica is lost for 4 s in 8."""
    world: QueryHarness = await start_query_harness(services=1, replicas=3, policy=policy)
    fake = world.endpoints_by_name["catalogue-0-0"]
    for second in range(60):
        fake.unreachable = second % 8 < 4
        for number in range(20):
            await world.search(request_id=f"{second}-{number}")
            await asyncio.sleep(0.04)
    await world.stop()
    return world.nodes_by_name["entry-a"].counters.value("attempt_failures", "NOT_CONNECTED")


class TestSteadyRecovery:
    """The rule is worth keeping: fewer attempts go to an endpoint that comes and goes."""

    @pytest.mark.looptime
    async def test_costs_fewer_attempts_than_a_fixed_time(self) -> None:
        steady = await lost_attempts(QueryPolicy())
        fixed = await lost_attempts(QueryPolicy(steady_recovery=False))

        assert steady < fixed, (steady, fixed)

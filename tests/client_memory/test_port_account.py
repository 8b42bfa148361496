"""Who has to go when a port holds too much, on virtual time and without a network."""

import asyncio

import pytest

from fakes import virtual_clock
from radishmount.audit import AuditTrail
from radishmount.client_memory import (
    Activity,
    ClientMemory,
    ConnectionAccount,
    Port,
    PortAccount,
    divide_limits,
)
from radishmount.counters import Counters


MEMORY_BYTES = 57_150_000  # gives callers a budget of 10 MB
BODY_BYTES = 262_144


def make_port() -> PortAccount:
    """Return the account of the port for callers."""
    clock = virtual_clock()
    memory = ClientMemory(clock, Counters(), AuditTrail(clock), MEMORY_BYTES, 1_000)
    return memory.by_port[Port.CALLERS]


def connect(port: PortAccount, activity: Activity, held_bytes: int = 0) -> ConnectionAccount:
    """Open a connection that holds something; `evict` closes it."""
    account = port.open()
    assert account is not None
    account.activity = lambda: activity
    account.evict = lambda code: port.close(account)
    account.hold(held_bytes)
    return account


def open_connections(port: PortAccount) -> set[ConnectionAccount]:
    return {account for account in port.accounts if not account.is_closing}


@pytest.mark.looptime
class TestCrowdOfBodiesThatStopShort:
    """Load: many uploads of legal size stop one byte short, beside one that makes progress."""

    async def test_those_that_hold_most_for_longest_are_evicted(self) -> None:
        port = make_port()
        stopped = [connect(port, Activity.BODY, BODY_BYTES) for _ in range(30)]
        await asyncio.sleep(1.0)
        ordinary = connect(port, Activity.BODY, 20_000)
        for _ in range(12):
            connect(port, Activity.BODY, BODY_BYTES)

        assert port.held_bytes <= port.limits.budget_bytes
        assert ordinary in open_connections(port)
        assert not set(stopped) <= open_connections(port)

    async def test_an_upload_gets_room_once_stalled_ones_are_evicted(self) -> None:
        port = make_port()
        stopped = [connect(port, Activity.BODY, BODY_BYTES) for _ in range(30)]
        ordinary = connect(port, Activity.BODY, BODY_BYTES)
        must_wait = ordinary.must_wait()
        has_room = await port.wait_for_room(ordinary)

        assert must_wait
        assert has_room
        assert ordinary in open_connections(port)
        assert not set(stopped) & open_connections(port)

    async def test_a_handled_request_is_never_evicted(self) -> None:
        """Guards against a refusal, or a cut connection, for work that may have run."""
        port = make_port()
        handled = [connect(port, Activity.RUNNING, BODY_BYTES) for _ in range(30)]
        await asyncio.sleep(5.0)
        connect(port, Activity.BODY, 5_000_000)

        assert set(handled) <= open_connections(port)

    async def test_what_was_evicted_counts_until_it_is_closed(self) -> None:
        """Guards against reading new bodies into room that is not free yet."""
        port = make_port()
        accounts = [connect(port, Activity.BODY, BODY_BYTES) for _ in range(30)]
        for account in accounts:
            account.evict = lambda code: None  # its handler has not ended
        held_bytes = port.held_bytes
        await asyncio.sleep(1.0)
        connect(port, Activity.BODY, 5_000_000)
        evicted = [account for account in accounts if account.is_closing]

        assert evicted
        assert port.held_bytes >= held_bytes + 5_000_000
        assert sum(account.held_bytes for account in evicted) < 7_000_000  # and no more than needed
        for account in accounts:
            account.close()
        assert port.held_bytes < 6_000_000

    async def test_nothing_is_released_twice(self) -> None:
        """Guards against a sum that falls with each client that leaves during its request."""
        port = make_port()
        account = connect(port, Activity.RUNNING, BODY_BYTES)
        account.close()
        account.release(BODY_BYTES)
        account.close()

        assert port.held_bytes == 0
        assert port.open_count == 0

    async def test_one_line_tells_of_the_pressure_and_one_of_its_end(self) -> None:
        port = make_port()
        accounts = [connect(port, Activity.BODY, BODY_BYTES) for _ in range(100)]
        for account in accounts:
            port.close(account)

        assert [line.change for line in port.audit.lines] == ["pressed", "relieved"]
        assert "budget body" in port.audit.lines[1].cause


@pytest.mark.looptime
class TestConnectionsBeyondTheLimit:
    """Load: more connections than descriptors, most of which do nothing."""

    async def test_a_new_one_gets_in_for_the_one_that_is_idle_for_longest(self) -> None:
        port = make_port()
        first = connect(port, Activity.IDLE)
        await asyncio.sleep(1.0)
        for _ in range(port.limits.max_connections - 1):
            connect(port, Activity.IDLE)
        newest = connect(port, Activity.IDLE)

        assert first not in open_connections(port)
        assert newest in open_connections(port)
        assert port.open_count == port.limits.max_connections

    async def test_an_upload_gets_room_where_idle_ones_hold_it(self) -> None:
        """Guards against a port that is pressed by idle connections, and refuses each body."""
        port = make_port()
        for _ in range(port.limits.max_connections - 1):
            connect(port, Activity.IDLE)
        await asyncio.sleep(1.0)
        just_used = next(iter(port.accounts))
        just_used.record_progress()
        ordinary = connect(port, Activity.BODY, BODY_BYTES)
        must_wait = ordinary.must_wait()
        has_room = await port.wait_for_room(ordinary)

        assert must_wait
        assert has_room
        assert {just_used, ordinary} <= open_connections(port)

    async def test_a_new_one_is_rejected_while_all_are_in_use(self) -> None:
        port = make_port()
        for _ in range(port.limits.max_connections):
            connect(port, Activity.RUNNING)

        assert port.open() is None


class TestDivideLimits:
    """The other ports hold while one port is pressed, as each has a part of its own."""

    def test_the_parts_add_up_to_no_more_than_the_whole(self) -> None:
        limits = divide_limits(200_000_000, 4_096)

        assert sum(part.budget_bytes for part in limits.values()) <= 50_000_000
        assert sum(part.max_connections for part in limits.values()) <= 4_096 - 200

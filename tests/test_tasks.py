"""The supervisor of background tasks, on virtual time."""

import asyncio

import pytest

from fakes import virtual_clock
from radishmount.audit import AuditTrail
from radishmount.counters import Counters
from radishmount.tasks import TaskSupervisor


pytestmark = pytest.mark.looptime


class TestTaskSupervisor:
    """A task that fails is counted, logged and restarted."""

    async def test_a_task_that_fails_is_reported_and_restarted(self) -> None:
        clock, counters = virtual_clock(), Counters()
        audit = AuditTrail(clock)
        runs = 0

        async def fail_twice() -> None:
            nonlocal runs
            runs += 1
            if runs <= 2:
                raise ValueError("unforeseen")
            await asyncio.sleep(3_600.0)

        supervisor = TaskSupervisor(clock, audit, counters)
        supervisor.start("follow", fail_twice)
        await asyncio.sleep(5.0)

        assert runs == 3
        assert counters.value("task_errors", "follow") == 2
        assert [line.subject for line in audit.lines] == ["task/follow"] * 2
        await supervisor.stop()

    async def test_a_task_that_ends_is_not_restarted(self) -> None:
        clock = virtual_clock()
        runs = 0

        async def once() -> None:
            nonlocal runs
            runs += 1

        supervisor = TaskSupervisor(clock, AuditTrail(clock), Counters())
        supervisor.start("once", once)
        await asyncio.sleep(5.0)

        assert runs == 1
        await supervisor.stop()

    async def test_stopping_cancels_all_tasks(self) -> None:
        clock, audit = virtual_clock(), AuditTrail(virtual_clock())
        ended = []

        async def wait() -> None:
            try:
                await asyncio.sleep(3_600.0)
            finally:
                ended.append(True)

        supervisor = TaskSupervisor(clock, audit, Counters())
        for name in ("one", "other"):
            supervisor.start(name, wait)
        await asyncio.sleep(0.1)
        await supervisor.stop()

        assert ended == [True, True]
        assert not audit.lines

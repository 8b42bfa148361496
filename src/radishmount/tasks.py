"""Background tasks that are restarted when they fail."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.counters import Counters


__all__ = ["TaskSupervisor", "TaskFunction"]

RESTART_DELAY_MS = 1_000.0  # limits a task that fails at once to one audit line a second

TaskFunction = Callable[[], Coroutine[Any, Any, None]]


@dataclass(slots=True)
class TaskSupervisor:
    """Runs background tasks until `stop`, and restarts those that fail.

    A failure is counted and recorded in the audit trail. Without the restart, an instance would
    continue without one of its tasks: its view would become stale while it still looked healthy.

        tasks = TaskSupervisor(clock, audit, counters)
        tasks.start("follow store", follower.run)
        await tasks.stop()
    """

    clock: Clock
    audit: AuditTrail
    counters: Counters
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self, name: str, function: TaskFunction) -> None:
        """Start a task that runs `function`. `name` appears in the counter and the audit trail."""
        self.tasks.append(asyncio.create_task(self._run_until_done(name, function), name=name))

    async def stop(self) -> None:
        """Cancel every task and wait until all have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _run_until_done(self, name: str, function: TaskFunction) -> None:
        while True:
            try:
                await function()
                return
            except Exception as error:  # any error must leave the instance running
                self.counters.add("task_errors", name)
                self.audit.record(f"task/{name}", "failed", cause=repr(error))
            await self.clock.sleep_ms(RESTART_DELAY_MS)

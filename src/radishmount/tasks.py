"""The tasks that a part of an instance keeps running."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.counters import Counters


__all__ = ["TaskSupervisor", "TaskFunction"]

BEGIN_ANEW_MS = 1_000.0  # an error that comes again at once costs a line a second

TaskFunction = Callable[[], Coroutine[Any, Any, None]]


@dataclass(slots=True)
class TaskSupervisor:
    """Tasks that end together with their part.

    One that fails is told of and begun anew: an instance without one of its tasks would go on with
    a view that grows old, and look well.

        tasks = TaskSupervisor(clock, audit, counters)
        tasks.start("follow store", follower.run)
        await tasks.stop()
    """

    clock: Clock
    audit: AuditTrail
    counters: Counters
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self, name: str, work: TaskFunction) -> None:
        """Start a task that does `work`."""
        self.tasks.append(asyncio.create_task(self._keep(name, work), name=name))

    async def stop(self) -> None:
        """End every task."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _keep(self, name: str, work: TaskFunction) -> None:
        while True:
            try:
                await work()
                return
            except Exception as error:  # whatever went wrong, the instance has to go on
                self.counters.add("task_errors", name)
                self.audit.record(f"task/{name}", "failed", cause=repr(error))
            await self.clock.sleep_ms(BEGIN_ANEW_MS)

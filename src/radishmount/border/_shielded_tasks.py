"""Tasks that finish even if their caller is gone, as they may already have had an effect."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from aiohttp import web


__all__ = ["ShieldedTasks"]

T = TypeVar("T")


@dataclass(slots=True, eq=False)
class ShieldedTasks:
    """The running tasks of requests that must finish, whether or not their caller still waits.

    app.on_cleanup.append(shielded.wait_until_done)
    """

    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    async def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run `work` in a task that is not cancelled when the caller of `run` is."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(task)

    async def wait_until_done(self, app: web.Application) -> None:
        """Wait for all running tasks; called when the server stops."""
        await asyncio.gather(*self.tasks, return_exceptions=True)

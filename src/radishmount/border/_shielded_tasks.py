"""Work that goes on when its caller is gone, because it may have had an effect already."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from aiohttp import web


__all__ = ["KeptWork"]

T = TypeVar("T")


@dataclass(slots=True, eq=False)
class KeptWork:
    """The tasks of requests that must be finished, whether or not their caller still waits.

    app.on_cleanup.append(kept.finish)
    """

    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    async def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run `work` to its end; cancelling the caller of `run` does not cancel it."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(task)

    async def finish(self, app: web.Application) -> None:
        """Wait for what is still running, when the server stops."""
        await asyncio.gather(*self.tasks, return_exceptions=True)

"""Runs the entries of a trial in its process, each on its own thread with its own event loop.

With a thread of its own, the CPU time of an entry can be measured apart from that of the
stand-ins, and a single entry can be paused.
"""

import asyncio
import threading
import time
from collections.abc import Callable
from random import Random
from typing import TypeVar

from result import Err

from radishmount.audit import AuditTrail
from radishmount.border import EntrySettings
from radishmount.clock import loop_clock
from radishmount.endpoints import OpenChannel
from radishmount.policy import QueryPolicy
from radishmount.programs.entry import RunningEntry, start_entry


__all__ = ["EntryThread"]

START_TIMEOUT_S = 10.0
JOIN_TIMEOUT_S = 10.0

T = TypeVar("T")


class EntryThread:
    """One entry on its own thread. Call all methods from the event loop of the trial."""

    def __init__(
        self,
        settings: EntrySettings,
        seed: str,
        open_channel: OpenChannel,
        route_peer: Callable[[str, str], str],
        policy: QueryPolicy,
    ) -> None:
        self.settings = settings
        self._seed = seed
        self._open_channel = open_channel
        self._route_peer = route_peer
        self._policy = policy
        self._loop: asyncio.AbstractEventLoop | None = None
        self._entry: RunningEntry | None = None
        self._end_requested = asyncio.Event()
        self._failure = ""
        self._cpu_s = 0.0
        self._paused_until_ms = 0.0
        self._thread = threading.Thread(target=self._run, name=settings.name, daemon=True)

    @property
    def caller_address(self) -> str:
        """Return the address that callers connect to."""
        assert self._entry is not None
        return str(self._entry.callers.address)

    @property
    def peer_address(self) -> str:
        """Return the address that peers connect to."""
        assert self._entry is not None
        return str(self._entry.peers.address)

    @property
    def active_version(self) -> int:
        """Return the version of the entry's active publication, 0 before its start."""
        return (
            0
            if self._entry is None
            else self._entry.node.control.active_publication.current.version
        )

    @property
    def has_started(self) -> bool:
        """Return whether the entry has completed its start-up."""
        return self._entry is not None and self._entry.node.control.has_started

    @property
    def is_running(self) -> bool:
        """Return whether the entry is running."""
        return self._loop is not None

    async def start(self) -> None:
        """Start the thread and wait until the entry listens.

        Raises RuntimeError when the entry could not start, and TimeoutError after
        `START_TIMEOUT_S`.
        """
        started: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        trial_loop = asyncio.get_running_loop()

        def notify_started() -> None:
            trial_loop.call_soon_threadsafe(started.set_result, None)

        self._notify_started = notify_started
        self._thread.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            await started
        if self._failure:
            raise RuntimeError(self._failure)

    async def leave(self) -> None:
        """Stop the entry gracefully, as SIGTERM does, and wait until it has ended."""
        entry, loop = self._entry, self._loop
        if entry is None or loop is None:
            return
        await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(entry.leave(), loop))
        await self.abort()

    async def stop(self) -> None:
        """Finish the requests in flight and end the entry, without a leaving phase."""
        entry, loop = self._entry, self._loop
        if entry is None or loop is None:
            return
        await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(entry.stop(), loop))
        await self.abort()

    async def abort(self) -> None:
        """End the entry at once: cancel its tasks and close its connections."""
        loop = self._loop
        if loop is None:
            return
        self._loop = None
        loop.call_soon_threadsafe(self._end_requested.set)
        await asyncio.to_thread(self._thread.join, JOIN_TIMEOUT_S)

    def pause(self, duration_ms: float) -> None:
        """Block the entry's event loop for `duration_ms`, as if its process were suspended."""
        self._paused_until_ms = time.monotonic() * 1000.0 + duration_ms
        if self._loop is not None:
            self._loop.call_soon_threadsafe(time.sleep, duration_ms / 1000.0)

    def is_paused(self, now_ms: float) -> bool:
        """Return whether the entry is paused at `now_ms`, a monotonic time."""
        return now_ms < self._paused_until_ms

    async def cpu_s(self) -> float:
        """Return the CPU time that the entry's thread has used."""
        if self._loop is None:
            return self._cpu_s
        return await self._run_on_loop(time.thread_time)

    async def _run_on_loop(self, function: Callable[[], T]) -> T:
        async def call() -> T:
            return function()

        assert self._loop is not None
        return await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(call(), self._loop))

    def _run(self) -> None:
        asyncio.run(self._main())

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        clock = loop_clock(loop)
        random = Random(f"{self._seed}/{self.settings.name}")
        started = await start_entry(
            self.settings,
            clock,
            random,
            AuditTrail(clock),
            open_channel=self._open_channel,
            route_peer=self._route_peer,
            policy=self._policy,
        )
        if isinstance(started, Err):
            self._failure = str(started.err_value)
            self._notify_started()
            return
        self._entry = started.ok_value
        self._loop = loop
        self._notify_started()
        await self._end_requested.wait()
        self._cpu_s = time.thread_time()
        self._entry.callers.abort()
        self._entry.operators.abort()

"""Entries within the process of a trial, each on a thread and an event loop of its own.

So an entry's processor time can be told from that of the stand-ins, and an entry can be paused.
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
    """One entry. Every method is called from the loop of the trial."""

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
        self._end = asyncio.Event()
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
    def version_in_force(self) -> int:
        """Return the version of the publication that the entry follows."""
        return (
            0
            if self._entry is None
            else self._entry.node.control.active_publication.current.version
        )

    @property
    def has_started(self) -> bool:
        """Tell whether the entry has ended its start."""
        return self._entry is not None and self._entry.node.control.has_started

    @property
    def alive(self) -> bool:
        """Tell whether the entry runs."""
        return self._loop is not None

    async def start(self) -> None:
        """Start the thread and wait until the entry listens."""
        started: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        home = asyncio.get_running_loop()

        def tell() -> None:
            home.call_soon_threadsafe(started.set_result, None)

        self._started = tell
        self._thread.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            await started
        if self._failure:
            raise RuntimeError(self._failure)

    async def leave(self) -> None:
        """Ask for a graceful stop, as a signal does, and wait for its end."""
        entry, loop = self._entry, self._loop
        if entry is None or loop is None:
            return
        await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(entry.leave(), loop))
        await self.vanish()

    async def stop(self) -> None:
        """End the entry when the trial is over."""
        entry, loop = self._entry, self._loop
        if entry is None or loop is None:
            return
        await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(entry.stop(), loop))
        await self.vanish()

    async def vanish(self) -> None:
        """End the entry at once: every task is dropped and every connection closed."""
        loop = self._loop
        if loop is None:
            return
        self._loop = None
        loop.call_soon_threadsafe(self._end.set)
        await asyncio.to_thread(self._thread.join, JOIN_TIMEOUT_S)

    def pause(self, duration_ms: float) -> None:
        """Hold the entry's loop for `duration_ms`, as when its process is suspended."""
        self._paused_until_ms = time.monotonic() * 1000.0 + duration_ms
        if self._loop is not None:
            self._loop.call_soon_threadsafe(time.sleep, duration_ms / 1000.0)

    def is_paused(self, now_ms: float) -> bool:
        """Tell whether the entry is paused; `now_ms` is monotonic."""
        return now_ms < self._paused_until_ms

    async def cpu_s(self) -> float:
        """Return the processor time that the entry has used."""
        if self._loop is None:
            return self._cpu_s
        return await self._there(time.thread_time)

    async def _there(self, function: Callable[[], T]) -> T:
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
            self._started()
            return
        self._entry = started.ok_value
        self._loop = loop
        self._started()
        await self._end.wait()
        self._cpu_s = time.thread_time()
        self._entry.callers.abort()
        self._entry.operators.abort()

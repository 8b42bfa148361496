"""The connections to one endpoint: one task owns one connection and its exchanges."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from result import Err, Result

from radishmount.clock import Clock
from radishmount.codes import Code
from radishmount.counters import Counters
from radishmount.endpoints._carried import Carried
from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._exchange import Channel, Failure, OpenChannel, Outcome, SubRequest


__all__ = ["Attempt", "Link"]

PROBE_INTERVAL_MS = 1_000.0
PROBE_TIMEOUT_MS = 1_000.0


@dataclass(slots=True, eq=False)
class Attempt:
    """One sub-request on its way to one endpoint. `deliver` is called exactly once."""

    request: SubRequest
    endpoint: Endpoint
    deliver: Callable[["Attempt", Outcome], None]
    submitted_at_ms: float
    cancelled: bool = False
    timeout: asyncio.Timeout | None = None

    @property
    def deadline_at_ms(self) -> float:
        """Return the time after which nothing is sent."""
        return self.request.deadline_at_ms

    async def send(self, channel: Channel, remaining_ms: float) -> Outcome:
        """Make the exchange over `channel`."""
        return await channel.exchange(self.request, remaining_ms)

    def finish(self, outcome: Outcome) -> None:
        """Deliver the outcome."""
        self.deliver(self, outcome)

    def cancel(self) -> None:
        """Give the attempt up: it is not sent, or its connection is closed."""
        self.cancelled = True
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(0.0)


@dataclass(slots=True)
class Link:
    """The queue and the connections to one endpoint, at most `connection_limit` of them."""

    endpoint: Endpoint
    open_channel: OpenChannel
    clock: Clock
    counters: Counters
    connection_limit: int
    waiting: deque[Carried] = field(default_factory=deque)
    wakers: deque[asyncio.Future[None]] = field(default_factory=deque)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def start(self) -> None:
        """Open the first connection, which also probes while there is nothing to send."""
        self._add_connection(probes=True)

    def submit(self, attempt: Carried) -> None:
        """Hand over one attempt; it is sent by the next free connection."""
        attempt.endpoint.took_request()
        self.waiting.append(attempt)
        if self.wakers:
            _wake(self.wakers.popleft())
        elif len(self.tasks) < self.connection_limit:
            self._add_connection(probes=False)

    async def stop(self) -> None:
        """Close every connection."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add_connection(self, *, probes: bool) -> None:
        name = f"connection {self.endpoint.name}"
        task = asyncio.get_running_loop().create_task(self._run_connection(probes), name=name)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_connection(self, probes: bool) -> None:
        """Own one connection: take the next attempt, send it, await its reply, deliver."""
        channel = self.open_channel(self.endpoint.spec.address)
        try:
            if probes:
                await self._probe(channel)
            while True:
                attempt = await self._next_attempt(PROBE_INTERVAL_MS if probes else None)
                if attempt is None:
                    await self._probe(channel)
                    continue
                await self._carry(channel, attempt)
        finally:
            await channel.close()

    async def _next_attempt(self, wait_ms: float | None) -> Carried | None:
        """Return the next attempt, or none when `wait_ms` pass without one."""
        while not self.waiting:
            waker = asyncio.get_running_loop().create_future()
            self.wakers.append(waker)
            try:
                async with asyncio.timeout(None if wait_ms is None else wait_ms / 1000.0):
                    await waker
            except TimeoutError:
                return None
            finally:
                if waker in self.wakers:
                    self.wakers.remove(waker)
        return self.waiting.popleft()

    async def _carry(self, channel: Channel, attempt: Carried) -> None:
        remaining_ms = self.clock.remaining_ms(attempt.deadline_at_ms)
        if attempt.cancelled:
            self._finish(attempt, Err(Failure(Code.CANCELLED)))
            return
        if remaining_ms <= 0.0:
            self._finish(attempt, Err(Failure(Code.DEADLINE_PASSED)))
            return
        outcome: Result[Any, Failure]
        try:
            async with asyncio.timeout(remaining_ms / 1000.0) as attempt.timeout:
                outcome = await attempt.send(channel, remaining_ms)
        except TimeoutError:
            code = Code.CANCELLED if attempt.cancelled else Code.TIMED_OUT
            outcome = Err(Failure(code))
        self._finish(attempt, outcome)

    def _finish(self, attempt: Carried, outcome: Result[Any, Failure]) -> None:
        now_ms = self.clock.now_ms()
        match outcome:
            case Err(failure):
                self.endpoint.failed(failure, now_ms)
                self.counters.add("attempt_failures", failure.code.name)
            case _:
                latency_ms = now_ms - attempt.submitted_at_ms
                self.endpoint.replied(outcome.ok_value.load, now_ms, latency_ms)
        attempt.finish(outcome)

    async def _probe(self, channel: Channel) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000.0):
                outcome = await channel.probe()
        except TimeoutError:
            outcome = Err(Failure(Code.TIMED_OUT))
        now_ms = self.clock.now_ms()
        match outcome:
            case Err(failure):
                self.endpoint.blame(failure, now_ms)
                self.counters.add("probe_failures", failure.code.name)
                await self.clock.sleep_ms(PROBE_INTERVAL_MS)
            case _:
                self.endpoint.reported(outcome.ok_value, now_ms)


def _wake(waker: asyncio.Future[None]) -> None:
    if not waker.done():
        waker.set_result(None)

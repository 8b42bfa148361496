"""The connections to one endpoint: one task owns one connection and its exchanges."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from result import Err, Ok, Result

from radishmount.clock import Clock
from radishmount.codes import Code, RunStatus
from radishmount.counters import Counters
from radishmount.endpoints._any_attempt import AnyAttempt, was_silent
from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._exchange import Channel, Failure, OpenChannel
from radishmount.endpoints._waker import wake
from radishmount.policy import DEFAULT_POLICY, QueryPolicy


__all__ = ["ConnectionPool"]

PROBE_INTERVAL_MS = 1_500.0
PROBE_TIMEOUT_MS = 500.0
IDLE_CLOSE_MS = 30_000.0
TIMER_SLACK_MS = 0.01
UNCONFIRMED_CLOSE_KEPT_MS = 2_000.0
LATE_REPLY_WAIT_MS = 100.0
RESTART_AFTER_ERROR_MS = 1_000.0
LONGEST_FOR_PROBER_MS = 1_500.0
QUEUED_PER_CONNECTION = 8
BROKEN_CODES = frozenset(
    {Code.TIMED_OUT, Code.CANCELLED, Code.CONNECTION_LOST, Code.NOT_CONNECTED, Code.BAD_REPLY}
)
DENYING_CODES = frozenset({Code.WRONG_VERSION, Code.BAD_REPLY})


class Turn(Enum):
    """What a connection does next when there is no attempt for it."""

    PROBE = auto()
    END = auto()


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """The queue and the connections to one endpoint.

    There are never more than `connection_limit` connections. One counts from before it is opened
    until the endpoint has closed its side, or for a while where that was not seen. The first one
    also probes, so that evidence stays young.
    """

    endpoint: Endpoint
    open_channel: OpenChannel
    clock: Clock
    counters: Counters
    connection_limit: int
    policy: QueryPolicy = DEFAULT_POLICY
    on_health_update: Callable[[], None] = lambda: None
    queue: deque[AnyAttempt] = field(default_factory=deque)
    wakers: deque[asyncio.Future[None]] = field(default_factory=deque)
    timer: asyncio.TimerHandle | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    prober: asyncio.Task[None] | None = None
    prober_waker: asyncio.Future[None] | None = None
    probe_at_ms: float = 0.0
    unconfirmed: int = 0
    retired: bool = False

    def start(self) -> None:
        """Open the connection that also probes, unless this instance may have none."""
        if not self.policy.probes:
            return
        if self.retired or self.connection_limit < 1 or self.prober is not None:
            return
        self.prober = self._add_connection(probes=True)

    def submit(self, attempt: AnyAttempt) -> None:
        """Hand over one attempt; it is sent by the next free connection."""
        attempt.endpoint.request_submitted()
        if self.retired or self.connection_limit < 1:
            self._finish(attempt, Err(Failure(Code.NOT_CONNECTED, detail="no connection allowed")))
            return
        if len(self.queue) >= QUEUED_PER_CONNECTION * self.connection_limit:
            self._finish(attempt, Err(Failure(Code.QUEUE_FULL)))
            return
        attempt.interrupt = lambda: self._give_up(attempt)
        self.queue.append(attempt)
        self._put_to_work()

    def set_connection_limit(self, connection_limit: int) -> None:
        """Change how many connections there may be; idle ones over the limit are closed."""
        self.connection_limit = connection_limit
        if connection_limit < 1:
            self._fail_waiting("no connection allowed")
        self.start()
        self._wake_all()

    def retire(self) -> None:
        """Take no more attempts; exchanges in flight end before their connection is closed."""
        self.retired = True
        self._fail_waiting("the endpoint was taken out")
        self._wake_all()

    def revive(self) -> None:
        """Take attempts again after `retire`."""
        self.retired = False
        self.start()

    def probe_now(self) -> None:
        """Probe at once, or after the exchange that the probing connection is busy with."""
        self.probe_at_ms = self.clock.now_ms()
        self._wake_all()

    async def stop(self) -> None:
        """Close every connection, whatever is in flight."""
        self.retired = True
        self._fail_waiting("the instance stops")
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add_connection(self, *, probes: bool) -> asyncio.Task[None]:
        name = f"connection {self.endpoint.name}"
        task = asyncio.get_running_loop().create_task(self._run_connection(probes), name=name)
        self.tasks.add(task)
        task.add_done_callback(self._connection_ended)
        return task

    def _connection_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self._put_to_work()
        failed = not task.cancelled() and task.exception() is not None
        if failed:
            self.counters.add("connection_errors", repr(task.exception()))
        if task is not self.prober:
            return
        self.prober = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if failed:
            asyncio.get_running_loop().call_later(RESTART_AFTER_ERROR_MS / 1000.0, self.start)
        else:
            self.start()

    async def _run_connection(self, probes: bool) -> None:
        """Own one connection: take the next attempt, send it, await its reply, deliver."""
        channel = self.open_channel(self.endpoint.spec.address)
        try:
            if probes:
                await self._probe(channel)
            while True:
                match await self._next(probes):
                    case Turn.END:
                        return
                    case Turn.PROBE:
                        await self._probe(channel)
                    case attempt:
                        await self._carry(channel, attempt)
        finally:
            await self._close(channel)

    async def _next(self, probes: bool) -> AnyAttempt | Turn:
        """Return the next attempt, or what to do when there is none in time."""
        idle_since_ms = self.clock.now_ms()
        while True:
            now_ms = self.clock.now_ms()
            if self.retired or self._is_over_limit(probes):
                return Turn.END
            attempt = self._take_waiting(probes)
            if attempt is not None:
                return attempt
            end_ms = self.probe_at_ms if probes else idle_since_ms + IDLE_CLOSE_MS
            if end_ms - now_ms < TIMER_SLACK_MS:
                return Turn.PROBE if probes else Turn.END
            await self._sleep(probes)

    def _take_waiting(self, probes: bool) -> AnyAttempt | None:
        """Return the attempt that has waited longest, if one more may be sent.

        The probing connection leaves long exchanges to the others, so that probes are not kept
        waiting.
        """
        if not self.queue or not self._may_send():
            return None
        if probes and not self._suits_prober(self.queue[0]):
            return None
        self.endpoint.active_exchanges += 1
        return self.queue.popleft()

    def _suits_prober(self, attempt: AnyAttempt) -> bool:
        return attempt.exchange_timeout_ms <= LONGEST_FOR_PROBER_MS or self.connection_limit == 1

    async def _sleep(self, probes: bool) -> None:
        """Wait to be woken, by work or by the timer of the link."""
        waker = asyncio.get_running_loop().create_future()
        if probes:
            self.prober_waker = waker
            self._set_timer()
        else:
            self.wakers.append(waker)
        try:
            await waker
        finally:
            if self.prober_waker is waker:
                self.prober_waker = None
            elif waker.cancelled() and waker in self.wakers:
                self.wakers.remove(waker)

    def _set_timer(self) -> None:
        """Set the one timer of the link to the next probe, unless it runs already.

        One for the link costs less than one for each wait: replies move the next probe on all the
        time, and the timer looks again when it ends too early.
        """
        if self.timer is not None or self.retired:
            return
        delay_ms = self.probe_at_ms - self.clock.now_ms()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(0.0, delay_ms) / 1000.0, self._timer_ended)

    def _timer_ended(self) -> None:
        self.timer = None
        if self.probe_at_ms - self.clock.now_ms() >= TIMER_SLACK_MS:
            self._set_timer()
            return
        self._wake_all()

    async def _carry(self, channel: Channel, attempt: AnyAttempt) -> None:
        """Send one attempt that was taken, and deliver its outcome whatever happens."""
        outcome: Result[Any, Failure] = Err(Failure(Code.CANCELLED, RunStatus.UNKNOWN))
        try:
            outcome = await self._exchange(channel, attempt)
        finally:
            self.endpoint.active_exchanges -= 1
            self._finish(attempt, outcome)
        if isinstance(outcome, Err) and outcome.err_value.code in BROKEN_CODES:
            await self._mend(channel, outcome.err_value, attempt)
        self._put_to_work()

    async def _exchange(self, channel: Channel, attempt: AnyAttempt) -> Result[Any, Failure]:
        refused = await self._reason_not_to_send(channel, attempt)
        if refused is not None:
            return Err(refused)
        now_ms = self.clock.now_ms()
        remaining_ms = self.clock.remaining_ms(attempt.deadline_at_ms)
        if remaining_ms <= 0.0:
            return Err(Failure(Code.DEADLINE_PASSED))
        attempt.sent_at_ms = now_ms
        self.endpoint.sent_at_ms_by_exchange[id(attempt)] = now_ms
        limit_ms = remaining_ms + LATE_REPLY_WAIT_MS
        if self.policy.progress_limits:
            limit_ms = min(limit_ms, attempt.exchange_timeout_ms)
        try:
            async with asyncio.timeout(limit_ms / 1000.0) as timeout:
                attempt.interrupt = lambda: timeout.reschedule(0.0)
                outcome = await attempt.send(channel, remaining_ms)
        except TimeoutError:
            code = Code.CANCELLED if attempt.cancelled else Code.TIMED_OUT
            return Err(Failure(code, RunStatus.UNKNOWN))
        finally:
            attempt.interrupt = None
            self.endpoint.sent_at_ms_by_exchange.pop(id(attempt), None)
        if isinstance(outcome, Ok) and not outcome.ok_value.answers(attempt.request):
            return Err(Failure(Code.BAD_REPLY, RunStatus.RAN, detail="to another request"))
        return outcome

    async def _reason_not_to_send(self, channel: Channel, attempt: AnyAttempt) -> Failure | None:
        """Return why the attempt is not sent; old evidence is renewed by a probe first."""
        attempt.interrupt = None
        if not self.endpoint.is_health_fresh(self.clock.now_ms()):
            await self._probe(channel)
        now_ms = self.clock.now_ms()
        if attempt.cancelled:
            return Failure(Code.CANCELLED)
        if self.endpoint.is_leaving(now_ms):
            return Failure(Code.ENDPOINT_LEAVING)
        if not self.endpoint.is_health_fresh(now_ms):
            return Failure(Code.NOT_CONNECTED, detail="a probe was not answered")
        return None

    def _finish(self, attempt: AnyAttempt, outcome: Result[Any, Failure]) -> None:
        now_ms = self.clock.now_ms()
        self.endpoint.request_ended()
        match outcome:
            case Ok(reply):
                sent_at_ms = attempt.sent_at_ms or now_ms
                self.endpoint.record_reply(reply.load, sent_at_ms, now_ms)
                self.probe_at_ms = max(self.probe_at_ms, sent_at_ms + PROBE_INTERVAL_MS)
                self.on_health_update()
            case Err(failure):
                self.counters.add("attempt_failures", failure.code.name)
                self.endpoint.record_failure(failure, attempt.sent_at_ms, now_ms)
                if failure.code is Code.NOT_CONNECTED and attempt.sent_at_ms is not None:
                    self.endpoint.record_connection_failure(failure, now_ms)
                if failure.code in DENYING_CODES and attempt.index_version is not None:
                    self.endpoint.record_missing_version(attempt.index_version, now_ms)
        attempt.finish(outcome, now_ms)

    async def _mend(self, channel: Channel, failure: Failure, attempt: AnyAttempt) -> None:
        """Close a connection that cannot be used again; the endpoint is blamed only with proof.

        A connection that was cut, lost or silent says little of its endpoint. So a new one is
        tried first: only where that fails too is the endpoint blamed.
        """
        await self._close(channel)
        if failure.code is Code.NOT_CONNECTED:
            return
        is_suspect = failure.code is Code.CONNECTION_LOST or was_silent(attempt, failure.code)
        if is_suspect:
            self.counters.add("broken_connections", failure.code.name)
            self.endpoint.record_lost_exchange(failure, self.clock.now_ms())
        if (
            not is_suspect
            and self.endpoint.health_age_ms(self.clock.now_ms()) < PROBE_INTERVAL_MS / 2.0
        ):
            return
        probes = asyncio.current_task() is self.prober
        if self.retired or self._is_over_limit(probes):
            self.probe_now()
            return
        await self._probe(channel)

    async def _probe(self, channel: Channel) -> None:
        asked_at_ms = self.clock.now_ms()
        self.probe_at_ms = asked_at_ms + PROBE_INTERVAL_MS
        self.counters.add("probes")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000.0):
                outcome = await channel.probe()
        except TimeoutError:
            outcome = Err(Failure(Code.TIMED_OUT))
        now_ms = self.clock.now_ms()
        match outcome:
            case Err(failure):
                self.endpoint.record_connection_failure(failure, now_ms)
                self.counters.add("probe_failures", failure.code.name)
                await self._close(channel)
            case Ok(report):
                self.endpoint.record_report(report, asked_at_ms, now_ms)
        self.on_health_update()

    async def _close(self, channel: Channel) -> None:
        """Close a connection. It counts until the endpoint has closed its side, or for a while."""
        if await channel.close():
            return
        self.counters.add("unconfirmed_closes")
        self.unconfirmed += 1
        loop = asyncio.get_running_loop()
        loop.call_later(UNCONFIRMED_CLOSE_KEPT_MS / 1000.0, self._forget_unconfirmed)

    def _forget_unconfirmed(self) -> None:
        self.unconfirmed -= 1

    def _put_to_work(self) -> None:
        """Have one more connection take an attempt, where one is waiting and allowed."""
        if not self.queue or not self._may_send():
            return
        if self.wakers:
            wake(self.wakers.pop())
        elif self.prober_waker is not None and self._suits_prober(self.queue[0]):
            wake(self.prober_waker)
            self.prober_waker = None
        elif len(self.tasks) + self.unconfirmed < self.connection_limit:
            self._add_connection(probes=False)

    def _may_send(self) -> bool:
        return not self.policy.adaptive_limits or self.endpoint.active_exchanges < int(
            self.endpoint.limit.value
        )

    def _is_over_limit(self, probes: bool) -> bool:
        """Tell whether this connection is one too many; the probing one goes last."""
        if probes:
            return self.connection_limit < 1
        return len(self.tasks) + self.unconfirmed > max(1, self.connection_limit)

    def _give_up(self, attempt: AnyAttempt) -> None:
        """Take a cancelled attempt out of the queue."""
        self.queue.remove(attempt)
        self._finish(attempt, Err(Failure(Code.CANCELLED)))

    def _fail_waiting(self, why: str) -> None:
        while self.queue:
            self._finish(self.queue.popleft(), Err(Failure(Code.NOT_CONNECTED, detail=why)))

    def _wake_all(self) -> None:
        if self.prober_waker is not None:
            wake(self.prober_waker)
            self.prober_waker = None
        while self.wakers:
            wake(self.wakers.popleft())

"""The connections to one endpoint, with one task for each connection and its exchanges."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from radishmount.clock import Clock
from radishmount.codes import Code, RunStatus
from radishmount.counters import Counters
from radishmount.endpoints._any_attempt import AnyAttempt, exchange_timed_out
from radishmount.endpoints._endpoint import Endpoint
from radishmount.endpoints._exchange import Channel, Failure, OpenChannel
from radishmount.endpoints._next_step import NextStep
from radishmount.endpoints._waker import expire_now, wake
from radishmount.policy import DEFAULT_POLICY, QueryPolicy


__all__ = ["ConnectionPool"]

PROBE_INTERVAL_MS = 1_500.0
PROBE_TIMEOUT_MS = 500.0
IDLE_CLOSE_MS = 30_000.0
TIMER_SLACK_MS = 0.01  # a timer may fire this much early
UNCONFIRMED_CLOSE_COUNTED_MS = 2_000.0
LATE_REPLY_GRACE_MS = 100.0  # after the deadline; a reply until then keeps the connection usable
RESTART_AFTER_ERROR_MS = 1_000.0
MAX_PROBING_EXCHANGE_MS = 1_500.0  # on the probing connection
QUEUED_PER_CONNECTION = 8
UNUSABLE_AFTER_CODES = frozenset(
    {Code.TIMED_OUT, Code.CANCELLED, Code.CONNECTION_LOST, Code.NOT_CONNECTED, Code.BAD_REPLY}
)
MISSING_VERSION_CODES = frozenset({Code.WRONG_VERSION, Code.BAD_REPLY})


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """The connections to one endpoint, and the queue of attempts that wait for one.

    There are never more than `connection_limit` connections. One counts from before it is opened
    until the endpoint has closed its side, or for another `UNCONFIRMED_CLOSE_COUNTED_MS` where
    that was not seen. The first connection also sends the probes that keep the endpoint's health
    up to date. `on_health_update` is called after each reply and probe.
    """

    endpoint: Endpoint
    open_channel: OpenChannel
    clock: Clock
    counters: Counters
    connection_limit: int
    policy: QueryPolicy = DEFAULT_POLICY
    on_health_update: Callable[[], None] = lambda: None
    queue: deque[AnyAttempt] = field(default_factory=deque)
    idle_wakers: deque[asyncio.Future[None]] = field(default_factory=deque)
    probe_timer: asyncio.TimerHandle | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    probe_task: asyncio.Task[None] | None = None
    probe_waker: asyncio.Future[None] | None = None
    probe_at_ms: float = 0.0
    unconfirmed_closes: int = 0
    retired: bool = False

    def start(self) -> None:
        """Open the probing connection, unless it is open or none is allowed."""
        if not self.policy.probes:
            return
        if self.retired or self.connection_limit < 1 or self.probe_task is not None:
            return
        if self.endpoint.is_evacuated:
            return
        self.probe_task = self._add_connection(probing=True)

    def submit(self, attempt: AnyAttempt) -> None:
        """Queue one attempt; it fails at once where the queue is full or no connection allowed."""
        attempt.endpoint.request_submitted()
        if self.retired or self.connection_limit < 1:
            self._finish(attempt, Err(Failure(Code.NOT_CONNECTED, detail="no connection allowed")))
            return
        if len(self.queue) >= QUEUED_PER_CONNECTION * self.connection_limit:
            self._finish(attempt, Err(Failure(Code.QUEUE_FULL)))
            return
        if self.endpoint.is_evacuated:
            self._finish(attempt, Err(Failure(Code.DATA_CENTRE_EVACUATED)))
            return
        attempt.interrupt = lambda: self._cancel_queued(attempt)
        self.queue.append(attempt)
        self._dispatch()

    def set_connection_limit(self, connection_limit: int) -> None:
        """Change the number of allowed connections; surplus ones are closed once they are idle."""
        self.connection_limit = connection_limit
        if connection_limit < 1:
            self._fail_queue("no connection allowed")
        self.start()
        self._wake_all()

    def retire(self) -> None:
        """Refuse attempts from now on, and close each connection after its exchange in flight."""
        self.retired = True
        self._fail_queue("the endpoint was removed")
        self._wake_all()

    def refuse_queue(self, code: Code) -> None:
        """End the attempts that wait here, as the endpoint takes no more; they may go elsewhere."""
        self._fail_queue("while it waited for a connection", code)

    def refuse_cold_excess(self) -> None:
        """End the newest attempts that wait here, as many as have no slot of a cold endpoint."""
        for _ in range(min(len(self.queue), self.endpoint.cold_excess(self.clock.now_ms()))):
            failure = Failure(Code.ENDPOINT_COLD, detail="while it waited for a connection")
            self._finish(self.queue.pop(), Err(failure))

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Begin or end an evacuation: no connection stays open but for an exchange in flight."""
        self.endpoint.is_evacuated = is_evacuated
        if is_evacuated:
            self.refuse_queue(Code.DATA_CENTRE_EVACUATED)
        self.start()
        self._wake_all()

    def revive(self) -> None:
        """Accept attempts again after `retire`."""
        self.retired = False
        self.start()

    def probe_now(self) -> None:
        """Probe at once, or after the exchange in flight on the probing connection."""
        self.probe_at_ms = self.clock.now_ms()
        self._wake_all()

    async def stop(self) -> None:
        """Close every connection, whatever is in flight."""
        self.retired = True
        self._fail_queue("the instance is stopping")
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add_connection(self, *, probing: bool) -> asyncio.Task[None]:
        name = f"connection {self.endpoint.name}"
        task = asyncio.get_running_loop().create_task(self._run_connection(probing), name=name)
        self.tasks.add(task)
        task.add_done_callback(self._connection_ended)
        return task

    def _connection_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self._dispatch()
        failed = not task.cancelled() and task.exception() is not None
        if failed:
            self.counters.add("connection_errors", repr(task.exception()))
        if task is not self.probe_task:
            return
        self.probe_task = None
        if self.probe_timer is not None:
            self.probe_timer.cancel()
            self.probe_timer = None
        if failed:
            asyncio.get_running_loop().call_later(RESTART_AFTER_ERROR_MS / 1000.0, self.start)
        else:
            self.start()

    async def _run_connection(self, probing: bool) -> None:
        """Own one connection: send attempts and probes one after the other, then close it."""
        channel = self.open_channel(self.endpoint.spec.address)
        try:
            if probing:
                await self._probe(channel)
            while True:
                match await self._next_step(probing):
                    case NextStep.CLOSE:
                        return
                    case NextStep.PROBE:
                        await self._probe(channel)
                    case attempt:
                        await self._run_attempt(channel, attempt)
                        del attempt  # the wait for the next one would keep the body of its request
        finally:
            await self._close(channel)

    async def _next_step(self, probing: bool) -> AnyAttempt | NextStep:
        """Return the next attempt, or what to do when none comes before the next probe or close."""
        idle_since_ms = self.clock.now_ms()
        while True:
            now_ms = self.clock.now_ms()
            if self.retired or self.endpoint.is_evacuated or self._is_over_limit(probing):
                return NextStep.CLOSE
            attempt = self._take_from_queue(probing)
            if attempt is not None:
                return attempt
            end_ms = self.probe_at_ms if probing else idle_since_ms + IDLE_CLOSE_MS
            if end_ms - now_ms < TIMER_SLACK_MS:
                return NextStep.PROBE if probing else NextStep.CLOSE
            await self._sleep(probing)

    def _take_from_queue(self, probing: bool) -> AnyAttempt | None:
        """Return the attempt that has waited longest, if one more may be sent.

        The probing connection leaves long exchanges to the others, as they would delay probes.
        """
        if not self.queue or not self._may_send():
            return None
        if probing and not self._fits_probing_connection(self.queue[0]):
            return None
        self.endpoint.active_exchanges += 1
        return self.queue.popleft()

    def _fits_probing_connection(self, attempt: AnyAttempt) -> bool:
        return attempt.exchange_timeout_ms <= MAX_PROBING_EXCHANGE_MS or self.connection_limit == 1

    async def _sleep(self, probing: bool) -> None:
        """Wait until an attempt, a change of limits or the probe timer wakes this connection."""
        waker = asyncio.get_running_loop().create_future()
        if probing:
            self.probe_waker = waker
            self._set_probe_timer()
        else:
            self.idle_wakers.append(waker)
        try:
            await waker
        finally:
            if self.probe_waker is waker:
                self.probe_waker = None
            elif waker.cancelled() and waker in self.idle_wakers:
                self.idle_wakers.remove(waker)

    def _set_probe_timer(self) -> None:
        """Set the timer of the pool to the next probe, unless it is set already.

        Replies postpone the next probe all the time. So one timer, which is set again when it
        fires too early, costs less than a new timer for each wait.
        """
        if self.probe_timer is not None or self.retired:
            return
        delay_ms = self.probe_at_ms - self.clock.now_ms()
        loop = asyncio.get_running_loop()
        self.probe_timer = loop.call_later(max(0.0, delay_ms) / 1000.0, self._on_probe_timer)

    def _on_probe_timer(self) -> None:
        self.probe_timer = None
        if self.probe_at_ms - self.clock.now_ms() >= TIMER_SLACK_MS:
            self._set_probe_timer()
            return
        self._wake_all()

    async def _run_attempt(self, channel: Channel, attempt: AnyAttempt) -> None:
        """Send one attempt from the queue, and deliver its outcome even on cancellation."""
        outcome: Result[Any, Failure] = Err(Failure(Code.CANCELLED, RunStatus.UNKNOWN))
        try:
            outcome = await self._exchange(channel, attempt)
        except Exception as error:
            # The error is reported where the task of the connection ends.
            ran = RunStatus.NOT_RUN if attempt.sent_at_ms is None else RunStatus.UNKNOWN
            outcome = Err(Failure(Code.INTERNAL, ran, detail=repr(error)))
            raise
        finally:
            self.endpoint.active_exchanges -= 1
            self._finish(attempt, outcome)
        if isinstance(outcome, Err) and outcome.err_value.code in UNUSABLE_AFTER_CODES:
            await self._reconnect(channel, outcome.err_value, attempt)
        self._dispatch()

    async def _exchange(self, channel: Channel, attempt: AnyAttempt) -> Result[Any, Failure]:
        reason = await self._reason_not_to_send(channel, attempt)
        if reason is not None:
            return Err(reason)
        now_ms = self.clock.now_ms()
        remaining_ms = self.clock.remaining_ms(attempt.deadline_at_ms)
        if remaining_ms <= 0.0:
            return Err(Failure(Code.DEADLINE_PASSED))
        attempt.sent_at_ms = now_ms
        self.endpoint.sent_at_ms_by_exchange[id(attempt)] = now_ms
        limit_ms = remaining_ms + LATE_REPLY_GRACE_MS
        if self.policy.progress_limits:
            limit_ms = min(limit_ms, attempt.exchange_timeout_ms)
        try:
            async with asyncio.timeout(limit_ms / 1000.0) as timeout:
                attempt.interrupt = lambda: expire_now(timeout)
                outcome = await attempt.send(channel, remaining_ms)
        except TimeoutError:
            code = Code.CANCELLED if attempt.cancelled else Code.TIMED_OUT
            return Err(Failure(code, RunStatus.UNKNOWN))
        finally:
            attempt.interrupt = None
            self.endpoint.sent_at_ms_by_exchange.pop(id(attempt), None)
        if isinstance(outcome, Ok) and not outcome.ok_value.answers(attempt.request):
            return Err(Failure(Code.BAD_REPLY, RunStatus.RAN, detail="answers another request"))
        return outcome

    async def _reason_not_to_send(self, channel: Channel, attempt: AnyAttempt) -> Failure | None:
        """Probe first if health is out of date; return why the attempt may not be sent, or None."""
        attempt.interrupt = None
        if self.endpoint.is_evacuated:
            return Failure(Code.DATA_CENTRE_EVACUATED)
        if not self.endpoint.is_health_fresh(self.clock.now_ms()):
            await self._probe(channel)
        now_ms = self.clock.now_ms()
        if attempt.cancelled:
            return Failure(Code.CANCELLED)
        if self.endpoint.is_evacuated:
            return Failure(Code.DATA_CENTRE_EVACUATED)
        if self.endpoint.is_leaving(now_ms):
            return Failure(Code.ENDPOINT_LEAVING)
        if self.endpoint.is_paused(now_ms):
            return Failure(Code.ENDPOINT_PAUSED)
        if not self.endpoint.has_cold_slot(now_ms):
            return Failure(Code.ENDPOINT_COLD)
        if not self.endpoint.is_health_fresh(now_ms):
            return Failure(Code.NOT_CONNECTED, detail="the endpoint did not answer a probe")
        return None

    def _finish(self, attempt: AnyAttempt, outcome: Result[Any, Failure]) -> None:
        now_ms = self.clock.now_ms()
        self.endpoint.request_ended(attempt.sent_at_ms, now_ms)
        match outcome:
            case Ok(reply):
                sent_at_ms = attempt.sent_at_ms or now_ms
                is_error = getattr(reply, "is_server_error", False)
                kind = getattr(attempt.request, "kind", "")
                self.endpoint.record_reply(
                    reply.load, sent_at_ms, now_ms, is_error=is_error, kind=kind
                )
                self.probe_at_ms = max(self.probe_at_ms, sent_at_ms + PROBE_INTERVAL_MS)
                self.on_health_update()
            case Err(failure):
                self.counters.add("attempt_failures", failure.code.name)
                self.endpoint.record_failure(failure, attempt.sent_at_ms, now_ms)
                if failure.code is Code.NOT_CONNECTED and attempt.sent_at_ms is not None:
                    self.endpoint.record_connection_failure(failure, now_ms)
                if failure.code in MISSING_VERSION_CODES and attempt.index_version is not None:
                    self.endpoint.record_missing_version(attempt.index_version, now_ms)
        attempt.finish(outcome, now_ms)

    async def _reconnect(self, channel: Channel, failure: Failure, attempt: AnyAttempt) -> None:
        """Close a connection that cannot be used again, and test the endpoint with a new one.

        A connection that was lost or silent says little about its endpoint. So the endpoint's
        connection failures are counted only where the probe over a new connection fails too.
        """
        await self._close(channel)
        if failure.code is Code.NOT_CONNECTED:
            return
        is_lost = failure.code is Code.CONNECTION_LOST or exchange_timed_out(attempt, failure.code)
        if is_lost:
            self.counters.add("broken_connections", failure.code.name)
            self.endpoint.record_lost_exchange(failure, self.clock.now_ms())
        if (
            not is_lost
            and self.endpoint.health_age_ms(self.clock.now_ms()) < PROBE_INTERVAL_MS / 2.0
        ):
            return
        probing = asyncio.current_task() is self.probe_task
        if self.retired or self._is_over_limit(probing):
            self.probe_now()
            return
        await self._probe(channel)

    async def _probe(self, channel: Channel) -> None:
        if self.endpoint.is_evacuated:
            return
        sent_at_ms = self.clock.now_ms()
        self.probe_at_ms = sent_at_ms + PROBE_INTERVAL_MS
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
                self.endpoint.record_report(report, sent_at_ms, now_ms)
        self.on_health_update()

    async def _close(self, channel: Channel) -> None:
        """Close a connection, and count it for a while if the endpoint was not seen to close it."""
        if await channel.close():
            return
        self.counters.add("unconfirmed_closes")
        self.unconfirmed_closes += 1
        loop = asyncio.get_running_loop()
        loop.call_later(UNCONFIRMED_CLOSE_COUNTED_MS / 1000.0, self._forget_unconfirmed_close)

    def _forget_unconfirmed_close(self) -> None:
        self.unconfirmed_closes -= 1

    def _dispatch(self) -> None:
        """Wake or open one connection for the next attempt in the queue, where that may be sent."""
        if not self.queue or not self._may_send():
            return
        if self.idle_wakers:
            wake(self.idle_wakers.pop())
        elif self.probe_waker is not None and self._fits_probing_connection(self.queue[0]):
            wake(self.probe_waker)
            self.probe_waker = None
        elif len(self.tasks) + self.unconfirmed_closes < self.connection_limit:
            self._add_connection(probing=False)

    def _may_send(self) -> bool:
        if self.endpoint.is_evacuated:
            return False
        return not self.policy.adaptive_limits or self.endpoint.active_exchanges < int(
            self.endpoint.limit.value
        )

    def _is_over_limit(self, probing: bool) -> bool:
        """Return whether this connection is surplus; the probing one is closed last."""
        if probing:
            return self.connection_limit < 1
        return len(self.tasks) + self.unconfirmed_closes > max(1, self.connection_limit)

    def _cancel_queued(self, attempt: AnyAttempt) -> None:
        """Remove a cancelled attempt from the queue."""
        self.queue.remove(attempt)
        self._finish(attempt, Err(Failure(Code.CANCELLED)))

    def _fail_queue(self, detail: str, code: Code = Code.NOT_CONNECTED) -> None:
        while self.queue:
            self._finish(self.queue.popleft(), Err(Failure(code, detail=detail)))

    def _wake_all(self) -> None:
        if self.probe_waker is not None:
            wake(self.probe_waker)
            self.probe_waker = None
        while self.idle_wakers:
            wake(self.idle_wakers.popleft())

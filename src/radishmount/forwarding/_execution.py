"""Runs one forwarded request: sends its attempts, hedges and retries until it is finished."""

import asyncio
import heapq
from dataclasses import dataclass, field
from functools import partial
from math import inf
from typing import Any

from result import Err, Ok, Result

from radishmount.codes import Code, RunStatus
from radishmount.endpoints import (
    Attempt,
    Endpoint,
    Failure,
    ForwardReply,
    ForwardRequest,
    Mailbox,
    Purpose,
)
from radishmount.forwarding._context import ForwardContext
from radishmount.forwarding._crossing import count_crossing
from radishmount.forwarding._hedge import (
    has_queued_requests,
    hedge_delay_ms,
    max_hedge_delay_ms,
)
from radishmount.forwarding._plan import ForwardPlan
from radishmount.forwarding._service_progress import ServiceProgress


__all__ = ["ForwardExecution"]

TIMER_SLACK_MS = 0.5  # timers of the event loop may fire slightly early
STUCK_AFTER_HEDGE_DELAYS = 2.0  # an exchange still open after this is more than briefly paused
MAX_SENDS = 6  # per service; attempts that an endpoint shed count too


@dataclass(slots=True)
class ForwardExecution:
    """The state of one forwarded request. `run` returns once the outcome is decided.

    `reply_count` and `failed_count` are the numbers of services with a usable reply and of those
    that no further attempt is made for. `hedge_heap` holds times at which hedges are due, with
    the service; an entry is out of date once the progress of its service has another time.
    """

    plan: ForwardPlan
    context: ForwardContext
    mailbox: Mailbox = field(init=False)
    progress_by_service: dict[str, ServiceProgress] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    reply_count: int = 0
    failed_count: int = 0
    hedge_heap: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        # No closure over the execution, which would then stay in memory with all of its replies
        # until the cyclic garbage collector has run.
        self.mailbox = Mailbox(is_urgent=partial(_is_failed, self.plan.is_fan_out))

    async def run(self) -> None:
        """Send to every service, then handle outcomes until the request is finished."""
        try:
            now_ms = self.context.clock.now_ms()
            for service in self.plan.services:
                progress = self.progress_by_service[service] = ServiceProgress(service)
                self._send(progress, now_ms)
            await self._run_until_finished()
        except asyncio.CancelledError:
            self._cancel_open()
            raise
        self._cancel_unneeded()

    async def _run_until_finished(self) -> None:
        while True:
            while self.mailbox.outcomes:
                self._handle_outcome(*self.mailbox.outcomes.popleft())
            now_ms = self.context.clock.now_ms()
            self._send_due_hedges(now_ms)
            if self._is_finished(now_ms):
                return
            due_at_ms = self._next_due_at_ms(now_ms)
            await self.mailbox.wait(due_at_ms - now_ms, self._missing_replies(now_ms))
            lag_ms = self.context.clock.now_ms() - due_at_ms
            if lag_ms >= 0.0:
                self.context.event_loop_lag.add(lag_ms)

    @property
    def may_have_run(self) -> bool:
        """Return whether any endpoint ran the request or may have run it."""
        return any(progress.possible_runs for progress in self.progress_by_service.values())

    def _is_finished(self, now_ms: float) -> bool:
        """Return whether waiting longer cannot improve the outcome, or the time is up."""
        count = len(self.plan.services)
        if self.reply_count + self.failed_count == count or self._is_due(
            self.plan.deadline_at_ms, now_ms
        ):
            return True
        if count - self.failed_count < self.plan.min_replies:
            return True
        if self.reply_count < self.plan.min_replies:
            return False
        return self._is_due(self.plan.partial_reply_at_ms, now_ms)

    def _is_due(self, at_ms: float, now_ms: float) -> bool:
        """Return whether `at_ms` has passed, or is closer than the precision of a timer."""
        return at_ms <= now_ms + TIMER_SLACK_MS

    def _missing_replies(self, now_ms: float) -> int:
        """Return the least number of further replies that can finish the request."""
        if self._is_due(self.plan.partial_reply_at_ms, now_ms):
            return max(1, self.plan.min_replies - self.reply_count)
        return len(self.plan.services) - self.reply_count - self.failed_count

    def _next_due_at_ms(self, now_ms: float) -> float:
        due_at_ms = self.plan.deadline_at_ms
        if not self._is_due(self.plan.partial_reply_at_ms, now_ms):
            due_at_ms = min(due_at_ms, self.plan.partial_reply_at_ms)
        return min(due_at_ms, self._next_hedge_at_ms())

    def _next_hedge_at_ms(self) -> float:
        """Return when the next hedge is due, infinite where none is scheduled."""
        while self.hedge_heap:
            hedge_at_ms, service = self.hedge_heap[0]
            if self.progress_by_service[service].hedge_at_ms == hedge_at_ms:
                return hedge_at_ms
            heapq.heappop(self.hedge_heap)
        return inf

    def _send_due_hedges(self, now_ms: float) -> None:
        while self._is_due(self._next_hedge_at_ms(), now_ms):
            _, service = heapq.heappop(self.hedge_heap)
            progress = self.progress_by_service[service]
            progress.hedge_at_ms = inf
            self._send_hedge(progress, now_ms)

    def _send(self, progress: ServiceProgress, now_ms: float) -> None:
        """Send to the best endpoint; the service fails when there is none or no budget is left."""
        endpoint = self._choose_endpoint(progress, now_ms)
        if endpoint is None or not self._try_reserve_send(progress, now_ms):
            self._mark_failed(progress)
            return
        purpose = Purpose.RETRY
        if progress.first_sent_at_ms is None:
            purpose = Purpose.FIRST
            progress.first_sent_at_ms = now_ms
            self.context.retry_budget.deposit(progress.service, now_ms)
        self._schedule_hedge(progress, endpoint, now_ms)
        self._submit(progress, endpoint, purpose, now_ms)

    def _try_reserve_send(self, progress: ServiceProgress, now_ms: float) -> bool:
        """Return whether one more attempt is allowed; a repeat is withdrawn from the budget."""
        if progress.send_count == 0:
            return True
        if (
            progress.possible_runs >= self.plan.route.max_attempts
            or progress.send_count >= MAX_SENDS
        ):
            return False
        if progress.send_count == progress.unsent_count:
            return True  # nothing has arrived at an endpoint yet
        if self.context.withholds_repeat(self.plan, progress.service):
            self.context.counters.add("repeats_withheld", "short of room")
            return False
        if not self.context.retry_budget.try_withdraw(progress.service, now_ms):
            self.context.counters.add("repeats_withheld", progress.service)
            return False
        return True

    def _schedule_hedge(self, progress: ServiceProgress, endpoint: Endpoint, now_ms: float) -> None:
        """Schedule a hedge; one that leaves the data centre goes out as late as it still helps."""
        if not self.plan.route.idempotent:
            return
        delay_ms = self._hedge_delay_ms()
        if self._would_hedge_cross(progress, endpoint):
            delay_ms = max(delay_ms, max_hedge_delay_ms(self.plan.route.target_latency_ms))
        progress.hedge_at_ms = now_ms + delay_ms
        heapq.heappush(self.hedge_heap, (progress.hedge_at_ms, progress.service))

    def _would_hedge_cross(self, progress: ServiceProgress, endpoint: Endpoint) -> bool:
        """Return whether `endpoint` is the only replica of the service in the own data centre."""
        own_data_centre = self.context.data_centre
        if endpoint.spec.data_centre != own_data_centre:
            return False
        for other in self.context.pool.endpoints_of(progress.service):
            if other is not endpoint and other.spec.data_centre == own_data_centre:
                return False
        return True

    def _hedge_delay_ms(self) -> float:
        window = self.context.latency_window(self.plan.route.name)
        return hedge_delay_ms(window, self.plan.route.target_latency_ms)

    def _send_hedge(self, progress: ServiceProgress, now_ms: float) -> None:
        """Send to a second endpoint while the first has not replied."""
        open_runs = progress.possible_runs + len(progress.open_attempts)
        if progress.reply is not None or open_runs >= self.plan.route.max_attempts:
            return
        endpoint = self._choose_endpoint(progress, now_ms)
        if endpoint is None:
            self.context.counters.add("hedges_withheld", "no other endpoint")
            return
        if has_queued_requests(endpoint, now_ms):
            self.context.counters.add("hedges_withheld", "full")
            return
        if self._try_reserve_send(progress, now_ms):
            self._submit(progress, endpoint, Purpose.HEDGE, now_ms)

    def _choose_endpoint(self, progress: ServiceProgress, now_ms: float) -> Endpoint | None:
        endpoints = self.context.pool.endpoints_of(progress.service)
        return self.context.choose(endpoints, progress.tried_endpoints, now_ms)

    def _submit(
        self, progress: ServiceProgress, endpoint: Endpoint, purpose: Purpose, now_ms: float
    ) -> None:
        request = ForwardRequest(
            call=self.plan.call,
            service=progress.service,
            expected_endpoint=endpoint.name,
            deadline_at_ms=self.plan.deadline_at_ms,
            idempotent=self.plan.route.idempotent,
            needs_headers=not self.plan.is_fan_out,
            kind=self.plan.route.name,
        )
        attempt = Attempt(request, endpoint, self._deliver, submitted_at_ms=now_ms, purpose=purpose)
        progress.send_count += 1
        progress.tried_endpoints.add(endpoint.name)
        progress.open_attempts.append(attempt)
        self.attempts.append(attempt)
        self.context.counters.add("forwarded", purpose.value)
        self.context.pool.submit(attempt)

    def _deliver(self, attempt: Attempt, outcome: Result[ForwardReply, Failure]) -> None:
        """Count what crossed data centres, also for attempts that the answer did not wait for."""
        count_crossing(attempt, self.context.data_centre, self.context.counters)
        self.mailbox.deliver(attempt, outcome)

    def _handle_outcome(self, attempt: Attempt, outcome: Result[ForwardReply, Failure]) -> None:
        progress = self.progress_by_service[attempt.request.service]
        progress.open_attempts.remove(attempt)
        ended_at_ms = attempt.ended_at_ms
        now_ms = self.context.clock.now_ms() if ended_at_ms is None else ended_at_ms
        match outcome:
            case Ok(reply):
                progress.possible_runs += 1
                self._handle_reply(progress, attempt, reply, now_ms)
            case Err(failure):
                progress.possible_runs += failure.ran is not RunStatus.NOT_RUN
                progress.unsent_count += attempt.sent_at_ms is None
                self._handle_failure(progress, failure, now_ms)

    def _handle_reply(
        self, progress: ServiceProgress, attempt: Attempt, reply: ForwardReply, now_ms: float
    ) -> None:
        is_usable = _is_usable(self.plan.is_fan_out, reply)
        if not is_usable:
            attempt.endpoint.record_error_reply(now_ms)
        if progress.reply is not None:
            return
        if not is_usable:
            progress.error_reply = reply
            self._handle_failure(
                progress, Failure(Code.ENDPOINT_ERROR, RunStatus.RAN, str(reply.status)), now_ms
            )
            return
        progress.reply = reply
        progress.hedge_at_ms = inf
        self.reply_count += 1
        if progress.first_sent_at_ms is not None:
            window = self.context.latency_window(self.plan.route.name)
            window.add(now_ms - progress.first_sent_at_ms)

    def _handle_failure(self, progress: ServiceProgress, failure: Failure, now_ms: float) -> None:
        """Retry elsewhere, unless an attempt is open or a retry might run the request twice."""
        if progress.reply is not None:
            return
        progress.last_failure = failure
        if progress.open_attempts:
            return
        if progress.possible_runs and not self.plan.route.idempotent:
            self._mark_failed(progress)
            return
        if failure.code is Code.CANCELLED or now_ms >= self.plan.deadline_at_ms:
            self._mark_failed(progress)
            return
        self._send(progress, now_ms)

    def _mark_failed(self, progress: ServiceProgress) -> None:
        progress.hedge_at_ms = inf
        self.failed_count += 1

    def _cancel_unneeded(self) -> None:
        """Cancel attempts that the answer no longer needs, where that saves work.

        Attempts not sent yet are cancelled. So are exchanges open for long, as they occupy a slot
        at a slow or full endpoint. Other exchanges are left to complete, because cancelling one
        closes its connection. If there are too few replies for an answer, all are cancelled.
        """
        if self.reply_count < self.plan.min_replies:
            self._cancel_open()
            return
        self._cancel_open(STUCK_AFTER_HEDGE_DELAYS * self._hedge_delay_ms())

    def _cancel_open(self, longer_than_ms: float = -inf) -> None:
        """Cancel attempts not sent yet, and exchanges open for more than `longer_than_ms`."""
        now_ms = self.context.clock.now_ms()
        for progress in self.progress_by_service.values():
            for attempt in list(progress.open_attempts):
                if attempt.sent_at_ms is None or now_ms - attempt.sent_at_ms > longer_than_ms:
                    attempt.cancel()


def _is_usable(is_fan_out: bool, reply: ForwardReply) -> bool:
    """Return whether a reply may be part of the answer to the caller."""
    return reply.is_success if is_fan_out else not reply.is_server_error


def _is_failed(is_fan_out: bool, outcome: Result[Any, Failure]) -> bool:
    """Return whether an attempt brought no reply that may be part of the answer."""
    return isinstance(outcome, Err) or not _is_usable(is_fan_out, outcome.ok_value)

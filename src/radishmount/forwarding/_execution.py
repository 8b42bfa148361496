"""The sendings of one forwarded request: first ones, hedges and retries, until it is settled."""

import asyncio
from dataclasses import dataclass, field
from math import inf

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
from radishmount.forwarding._hedge import has_queued_requests, hedge_after_ms
from radishmount.forwarding._plan import ForwardPlan
from radishmount.forwarding._service_progress import PartProgress


__all__ = ["ForwardExecution"]

TIMER_SLACK_MS = 0.5  # timers fire slightly early by the clock of the loop
STUCK_HEDGE_DELAYS = 2.0  # an exchange still open after this meets more than a usual pause
MAX_SENDS = 6  # of one part, refusals of full endpoints among them


@dataclass(slots=True)
class ForwardExecution:
    """The state of one forwarded request. `run` ends when no more is to be waited for."""

    plan: ForwardPlan
    tools: ForwardContext
    mailbox: Mailbox = field(default_factory=Mailbox)
    parts_by_service: dict[str, PartProgress] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    answered: int = 0
    lost: int = 0

    async def run(self) -> None:
        """Send to every service, then take outcomes until the request is settled."""
        try:
            now_ms = self.tools.clock.now_ms()
            for service in self.plan.services:
                part = self.parts_by_service[service] = PartProgress(service)
                self._send(part, now_ms)
            await self._collect()
        except asyncio.CancelledError:
            self._cancel_open()
            raise
        self._end_open()

    async def _collect(self) -> None:
        while True:
            while self.mailbox.outcomes:
                self._take(*self.mailbox.outcomes.popleft())
            now_ms = self.tools.clock.now_ms()
            self._act_when_due(now_ms)
            if self._is_settled(now_ms):
                return
            due_at_ms = self._next_due_ms(now_ms)
            await self.mailbox.wait(due_at_ms - now_ms)
            late_ms = self.tools.clock.now_ms() - due_at_ms
            if late_ms >= 0.0:
                self.tools.event_loop_lag.add(late_ms)

    @property
    def may_have_run(self) -> bool:
        """Tell whether any endpoint ran the request or may have run it."""
        return any(part.runs for part in self.parts_by_service.values())

    def _is_settled(self, now_ms: float) -> bool:
        """Tell whether nothing better can come, or time is up."""
        count = len(self.plan.services)
        if self.answered + self.lost == count or self._is_due(self.plan.deadline_at_ms, now_ms):
            return True
        if count - self.lost < self.plan.min_replies:
            return True
        if self.answered < self.plan.min_replies:
            return False
        return self._is_due(self.plan.partial_reply_at_ms, now_ms)

    def _is_due(self, at_ms: float, now_ms: float) -> bool:
        """Tell whether a time has come, or is so near that no timer could tell it from now."""
        return at_ms <= now_ms + TIMER_SLACK_MS

    def _next_due_ms(self, now_ms: float) -> float:
        due_at_ms = self.plan.deadline_at_ms
        if not self._is_due(self.plan.partial_reply_at_ms, now_ms):
            due_at_ms = min(due_at_ms, self.plan.partial_reply_at_ms)
        for part in self.parts_by_service.values():
            due_at_ms = min(due_at_ms, part.act_at_ms)
        return due_at_ms

    def _act_when_due(self, now_ms: float) -> None:
        for part in self.parts_by_service.values():
            if not self._is_due(part.act_at_ms, now_ms):
                continue
            part.act_at_ms = inf
            self._hedge(part, now_ms)

    def _send(self, part: PartProgress, now_ms: float) -> None:
        """Ask the best endpoint; where there is none, or no budget for it, the part is lost."""
        endpoint = self._choose(part, now_ms)
        if endpoint is None or not self._may_send(part, now_ms):
            self._lose(part)
            return
        purpose = Purpose.RETRY
        if part.first_sent_at_ms is None:
            purpose = Purpose.FIRST
            part.first_sent_at_ms = now_ms
            self.tools.retry_budget.deposit(part.service, now_ms)
        self._plan_hedge(part, now_ms)
        self._submit(part, endpoint, purpose, now_ms)

    def _may_send(self, part: PartProgress, now_ms: float) -> bool:
        """Tell whether the route and the budget allow one more sending."""
        if part.sends == 0:
            return True
        if part.runs >= self.plan.route.max_attempts or part.sends >= MAX_SENDS:
            return False
        if not self.tools.retry_budget.try_withdraw(part.service, now_ms):
            self.tools.counters.add("repeats_withheld", part.service)
            return False
        return True

    def _plan_hedge(self, part: PartProgress, now_ms: float) -> None:
        if not self.plan.route.idempotent:
            return
        part.act_at_ms = now_ms + self._hedge_after_ms()

    def _hedge_after_ms(self) -> float:
        window = self.tools.latency_window(self.plan.route.name)
        return hedge_after_ms(window, self.plan.route.target_latency_ms)

    def _hedge(self, part: PartProgress, now_ms: float) -> None:
        """Ask a second endpoint while the first has not answered."""
        open_runs = part.runs + len(part.open_attempts)
        if part.reply is not None or open_runs >= self.plan.route.max_attempts:
            return
        endpoint = self._choose(part, now_ms)
        if endpoint is None:
            self.tools.counters.add("hedges_withheld", "no other endpoint")
            return
        if has_queued_requests(endpoint, now_ms):
            self.tools.counters.add("hedges_withheld", "full")
            return
        if self._may_send(part, now_ms):
            self._submit(part, endpoint, Purpose.HEDGE, now_ms)

    def _choose(self, part: PartProgress, now_ms: float) -> Endpoint | None:
        endpoints = self.tools.pool.endpoints_of(part.service)
        return self.tools.choose(endpoints, part.tried, now_ms)

    def _submit(
        self, part: PartProgress, endpoint: Endpoint, purpose: Purpose, now_ms: float
    ) -> None:
        request = ForwardRequest(
            call=self.plan.call,
            service=part.service,
            expected_endpoint=endpoint.name,
            deadline_at_ms=self.plan.deadline_at_ms,
            idempotent=self.plan.route.idempotent,
        )
        attempt = Attempt(
            request, endpoint, self.mailbox.deliver, submitted_at_ms=now_ms, purpose=purpose
        )
        part.sends += 1
        part.tried.add(endpoint.name)
        part.open_attempts.append(attempt)
        self.attempts.append(attempt)
        self.tools.counters.add("forwarded", purpose.value)
        self.tools.pool.submit(attempt)

    def _take(self, attempt: Attempt, outcome: Result[ForwardReply, Failure]) -> None:
        part = self.parts_by_service[attempt.request.service]
        part.open_attempts.remove(attempt)
        now_ms = self.tools.clock.now_ms()
        match outcome:
            case Ok(reply):
                part.runs += 1
                self._answered(part, attempt, reply, now_ms)
            case Err(failure):
                part.runs += failure.ran is not RunStatus.NOT_RUN
                self._failed(part, failure, now_ms)

    def _answered(
        self, part: PartProgress, attempt: Attempt, reply: ForwardReply, now_ms: float
    ) -> None:
        wanted = reply.is_success if self.plan.is_fan_out else not reply.is_server_error
        if not wanted:
            attempt.endpoint.record_error_answer(now_ms)
        if part.reply is not None:
            return
        if not wanted:
            part.spare = reply
            self._failed(
                part, Failure(Code.ENDPOINT_ERROR, RunStatus.RAN, str(reply.status)), now_ms
            )
            return
        part.reply = reply
        part.act_at_ms = inf
        self.answered += 1
        if part.first_sent_at_ms is not None:
            window = self.tools.latency_window(self.plan.route.name)
            window.add(now_ms - part.first_sent_at_ms)

    def _failed(self, part: PartProgress, failure: Failure, now_ms: float) -> None:
        """Try another endpoint, unless one is still being asked or the request may have run."""
        if part.reply is not None:
            return
        part.failure = failure
        if part.open_attempts:
            return
        if part.runs and not self.plan.route.idempotent:
            self._lose(part)
            return
        if failure.code is Code.CANCELLED or now_ms >= self.plan.deadline_at_ms:
            self._lose(part)
            return
        self._send(part, now_ms)

    def _lose(self, part: PartProgress) -> None:
        part.act_at_ms = inf
        self.lost += 1

    def _end_open(self) -> None:
        """Take back what the answer no longer waits for, where that saves work.

        What has not been sent never is. An exchange that is open for long holds a place at an
        endpoint that is slow or full. One that is not is left to end, as it keeps its connection.
        """
        if self.answered < self.plan.min_replies:
            self._cancel_open()
            return
        self._cancel_open(STUCK_HEDGE_DELAYS * self._hedge_after_ms())

    def _cancel_open(self, longer_than_ms: float = -inf) -> None:
        """Take back what was not sent, and end exchanges that are open for `longer_than_ms`."""
        now_ms = self.tools.clock.now_ms()
        for part in self.parts_by_service.values():
            for attempt in list(part.open_attempts):
                if attempt.sent_at_ms is None or now_ms - attempt.sent_at_ms > longer_than_ms:
                    attempt.cancel()

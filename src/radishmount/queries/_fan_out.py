"""Fans one search out to the shards of one snapshot."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from radishmount.codes import RunStatus
from radishmount.endpoints import (
    Attempt,
    Endpoint,
    Failure,
    Mailbox,
    Purpose,
    SubReply,
    SubRequest,
    SubRequestOutcome,
)
from radishmount.publication import Preference
from radishmount.queries._context import QueryContext
from radishmount.queries._hedge import exchange_timeout_ms, hedge_delay_ms
from radishmount.queries._search import Search
from radishmount.queries._shard_progress import ShardProgress
from radishmount.snapshots import Snapshot


__all__ = ["FanOut"]

ANSWER_MARGIN_RATIO = 0.02
TIMER_SLACK_MS = 0.01
LATE_WAKEUP_MS = 5.0
MIN_SHARDS_TO_COMPARE = 4
MIN_RESTART_TIME_MS = 10.0
RESTART_CHECK_INTERVAL_MS = 10.0


@dataclass(slots=True)
class FanOut:
    """The state of one fan-out. `run` returns when every shard has replied or the time is up.

    `find_other_snapshot` returns a snapshot of another index version that every shard can answer,
    or none. If a shard cannot answer the present snapshot, and there is another one and time for
    it, the fan-out ends with `must_restart`.

    `scheduled_actions` is a heap of the time, a sequence number and the shard of each action.
    """

    search: Search
    snapshot: Snapshot
    context: QueryContext
    find_other_snapshot: Callable[[], Snapshot | None]
    previous_attempts: int = 0
    progress_by_shard: dict[str, ShardProgress] = field(default_factory=dict)
    mailbox: Mailbox = field(default_factory=Mailbox)
    scheduled_actions: list[tuple[float, int, ShardProgress]] = field(default_factory=list)
    scheduled_count: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    unanswered_count: int = 0
    reply_deadline_at_ms: float = 0.0
    restart_checked_at_ms: float = float("-inf")
    must_restart: bool = False

    async def run(self) -> None:
        """Send every sub-request, then handle replies until all have come or the time is up."""
        now_ms = self.context.clock.now_ms()
        remaining_ms = self.search.deadline_at_ms - now_ms
        self.reply_deadline_at_ms = now_ms + remaining_ms * (1.0 - ANSWER_MARGIN_RATIO)
        try:
            self._send_all(now_ms)
            await self._run_until_finished()
        except asyncio.CancelledError:
            self._cancel_open(cancel_sent=True)
            raise
        self._cancel_open(cancel_sent=self.must_restart)

    async def _run_until_finished(self) -> None:
        while True:
            while self.mailbox.outcomes:
                self._handle_outcome(*self.mailbox.outcomes.popleft())
            if not self.unanswered_count or self.must_restart:
                return
            now_ms = self.context.clock.now_ms()
            if now_ms >= self.reply_deadline_at_ms - TIMER_SLACK_MS or self._should_answer_early(
                now_ms
            ):
                return
            if self._run_due_action(now_ms):
                continue
            wake_at_ms = min(self.reply_deadline_at_ms, self._next_due_at_ms())
            await self.mailbox.wait(wake_at_ms - now_ms)

    @property
    def replies(self) -> list[SubReply]:
        """Return the replies received so far, in the order of the shard map."""
        return [p.reply for p in self.progress_by_shard.values() if p.reply is not None]

    def _send_all(self, now_ms: float) -> None:
        shards = self.snapshot.shards_for(self.search.terms.keys)
        self.unanswered_count = len(shards)
        self.context.hedge_budget.deposit(len(shards) * self.search.rule.hedge_ratio, now_ms)
        for shard in shards:
            progress = ShardProgress(shard, self.context.service_state(shard.service))
            self.progress_by_shard[shard.name] = progress
            progress.service_state.deposit_retry(now_ms)
            self._send(progress)

    def _schedule(self, progress: ShardProgress, next_action_at_ms: float) -> None:
        progress.next_action_at_ms = next_action_at_ms
        self.scheduled_count += 1
        heapq.heappush(self.scheduled_actions, (next_action_at_ms, self.scheduled_count, progress))

    def _next_due_at_ms(self) -> float:
        """Return when the next action is due, after dropping actions that are obsolete."""
        while self.scheduled_actions:
            next_action_at_ms, _, progress = self.scheduled_actions[0]
            if progress.reply is None and next_action_at_ms == progress.next_action_at_ms:
                return next_action_at_ms
            heapq.heappop(self.scheduled_actions)
        return float("inf")

    def _run_due_action(self, now_ms: float) -> bool:
        """Run one action that is due; return false when there is none."""
        if self._next_due_at_ms() > now_ms + TIMER_SLACK_MS:
            return False
        due_at_ms, _, progress = heapq.heappop(self.scheduled_actions)
        progress.next_action_at_ms = float("inf")
        if not progress.open_attempts:
            self._send(progress)
        elif not progress.hedged:
            postponement_ms = self._hedge_postponement_ms(progress, now_ms - due_at_ms)
            if postponement_ms:
                progress.hedge_postponed = True
                self._schedule(progress, now_ms + postponement_ms)
                return True
            self._send_hedge(progress, now_ms)
        else:
            self._cancel_unsent(progress, now_ms)
        return True

    def _hedge_postponement_ms(self, progress: ShardProgress, late_ms: float) -> float:
        """Return by how long to postpone a hedge, zero to send it now. Each is postponed once only.

        While most shards have not replied, the cause is no single straggler, and after a late
        wake-up of the event loop replies may be waiting unread. Hedges would only add load.
        """
        if progress.hedge_postponed:
            return 0.0
        if late_ms > LATE_WAKEUP_MS:
            return LATE_WAKEUP_MS
        shards = len(self.progress_by_shard)
        if shards >= MIN_SHARDS_TO_COMPARE and 2 * self.unanswered_count > shards:
            return hedge_delay_ms(progress.service_state.latency_window, self.search.rule.prefer)
        return 0.0

    def _send(self, progress: ShardProgress) -> None:
        """Send to the best replica; if there is none or no budget is left, try after a backoff."""
        now_ms = self.context.clock.now_ms()
        endpoint = self._choose_endpoint(progress, now_ms)
        if endpoint is None:
            progress.tried_endpoints.clear()
            progress.is_unavailable = not self._has_usable_replica(progress, now_ms)
            if progress.is_unavailable and self._can_restart(progress, now_ms):
                self.must_restart = True
            self._schedule(progress, now_ms + progress.next_backoff_ms())
            return
        purpose = progress.next_purpose
        if purpose is Purpose.RETRY and not self.context.try_reserve_retry(
            progress.service_state, now_ms
        ):
            self._schedule(progress, now_ms + progress.next_backoff_ms())
            return
        delay_ms = hedge_delay_ms(progress.service_state.latency_window, self.search.rule.prefer)
        self._schedule(progress, now_ms + delay_ms)
        self._submit(progress, endpoint, purpose, now_ms)

    def _send_hedge(self, progress: ShardProgress, now_ms: float) -> None:
        """Send a hedge to a second replica, if there is one and overload and budget allow it."""
        progress.hedged = True
        self._schedule(
            progress, now_ms + exchange_timeout_ms(progress.service_state.latency_window)
        )
        if not self.search.rule.idempotent:
            return
        endpoint = self._choose_endpoint(progress, now_ms)
        if endpoint is None or not self.context.try_reserve_hedge(progress.service_state, now_ms):
            return
        self._submit(progress, endpoint, Purpose.HEDGE, now_ms)

    def _cancel_unsent(self, progress: ShardProgress, now_ms: float) -> None:
        """Cancel attempts that wait for a connection; the shard is retried once none is open."""
        for attempt in list(progress.open_attempts):
            if attempt.sent_at_ms is None:
                attempt.cancel()

    def _choose_endpoint(self, progress: ShardProgress, now_ms: float) -> Endpoint | None:
        index_version = self.snapshot.index_version
        endpoints = self.context.pool.endpoints_of(progress.shard.service)
        candidates = [endpoint for endpoint in endpoints if endpoint.holds(index_version, now_ms)]
        return self.context.choose(candidates, progress.tried_endpoints, now_ms)

    def _submit(
        self, progress: ShardProgress, endpoint: Endpoint, purpose: Purpose, now_ms: float
    ) -> None:
        request = SubRequest(
            request_id=self.search.request_id,
            attempt=self.previous_attempts + len(self.attempts) + 1,
            shard=progress.shard.name,
            index_version=self.snapshot.index_version,
            deadline_at_ms=self.reply_deadline_at_ms,
            terms=self.search.terms,
        )
        attempt = Attempt(
            request,
            endpoint,
            self.mailbox.deliver,
            submitted_at_ms=now_ms,
            purpose=purpose,
            exchange_timeout_ms=exchange_timeout_ms(progress.service_state.latency_window),
        )
        self.attempts.append(attempt)
        progress.record_attempt(attempt)
        self.context.counters.add("sub_requests", purpose.value)
        self.context.pool.submit(attempt)

    def _handle_outcome(self, attempt: Attempt, outcome: SubRequestOutcome) -> None:
        progress = self.progress_by_shard[attempt.request.shard]
        progress.open_attempts.remove(attempt)
        if progress.reply is not None:
            return
        match outcome:
            case Ok(reply):
                self._handle_reply(progress, reply)
            case Err(failure):
                self._handle_failure(progress, failure)

    def _handle_failure(self, progress: ShardProgress, failure: Failure) -> None:
        if progress.open_attempts:
            return
        if failure.ran is not RunStatus.NOT_RUN and not self.search.rule.idempotent:
            progress.next_action_at_ms = float("inf")
            return
        self._send(progress)

    def _handle_reply(self, progress: ShardProgress, reply: SubReply) -> None:
        progress.reply = reply
        self.unanswered_count -= 1
        first_sent_at_ms = progress.first_sent_at_ms
        if first_sent_at_ms is not None:
            progress.service_state.latency_window.add(
                self.context.clock.now_ms() - first_sent_at_ms
            )
        for attempt in list(progress.open_attempts):
            self.context.counters.add("cancelled", attempt.purpose.value)
            attempt.cancel()

    def _has_usable_replica(self, progress: ShardProgress, now_ms: float) -> bool:
        """Return whether a replica that is healthy or awaits a probe holds the index version."""
        index_version = self.snapshot.index_version
        for endpoint in self.context.pool.endpoints_of(progress.shard.service):
            if endpoint.holds(index_version, now_ms) and (
                endpoint.is_healthy(now_ms) or endpoint.awaits_probe(now_ms)
            ):
                return True
        return False

    def _can_restart(self, progress: ShardProgress, now_ms: float) -> bool:
        """Return whether another version can be answered completely and in time."""
        if not self.context.policy.snapshot_restarts:
            return False
        if now_ms - self.restart_checked_at_ms < RESTART_CHECK_INTERVAL_MS:
            return self.must_restart
        self.restart_checked_at_ms = now_ms
        typical_ms = progress.service_state.latency_window.quantile_ms(0.5) or 0.0
        if self.reply_deadline_at_ms - now_ms < max(MIN_RESTART_TIME_MS, 2.0 * typical_ms):
            return False
        return self.find_other_snapshot() is not None

    def _should_answer_early(self, now_ms: float) -> bool:
        """Return whether to answer now, as every missing shard lacks a usable replica.

        A rule that prefers the tail answers after half of its deadline. One that prefers coverage
        waits for a replica to come back until the time is up.
        """
        if self.search.rule.prefer is Preference.COVERAGE:
            return False
        if now_ms < self.search.deadline_at_ms - self.search.deadline_ms / 2.0:
            return False
        return all(p.is_unavailable for p in self.progress_by_shard.values() if p.reply is None)

    def _cancel_open(self, *, cancel_sent: bool) -> None:
        """Cancel the attempts that are still open, those already sent only if `cancel_sent`.

        An exchange that is out of time is left to its connection pool: the endpoint knows the
        deadline, and its late reply keeps the connection usable. If the caller has disconnected or
        the search restarts, `cancel_sent` frees the slots of the endpoints at once.
        """
        for progress in self.progress_by_shard.values():
            for attempt in list(progress.open_attempts):
                if cancel_sent or attempt.sent_at_ms is None:
                    attempt.cancel()

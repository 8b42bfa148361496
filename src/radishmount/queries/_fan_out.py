"""One fan-out: the sub-requests of one search at one snapshot."""

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
LATE_WAKE_MS = 5.0
MIN_SHARDS_TO_COMPARE = 4
MIN_RESTART_MS = 10.0
RESTART_CHECK_INTERVAL_MS = 10.0


@dataclass(slots=True)
class FanOut:
    """The state of one fan-out. `run` ends with every shard answered, or when time is up.

    `other_snapshot` finds another version that every shard can answer. If a shard cannot answer
    this one, and there is such a version and time for it, the fan-out ends with `must_restart`.
    """

    search: Search
    snapshot: Snapshot
    tools: QueryContext
    other_snapshot: Callable[[], Snapshot | None]
    attempts_before: int = 0
    progress_by_shard: dict[str, ShardProgress] = field(default_factory=dict)
    mailbox: Mailbox = field(default_factory=Mailbox)
    due: list[tuple[float, int, ShardProgress]] = field(default_factory=list)
    planned: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    unanswered: int = 0
    collect_until_ms: float = 0.0
    restart_checked_at_ms: float = float("-inf")
    must_restart: bool = False

    async def run(self) -> None:
        """Send every sub-request, then take replies until all are there or time is up."""
        now_ms = self.tools.clock.now_ms()
        remaining_ms = self.search.deadline_at_ms - now_ms
        self.collect_until_ms = now_ms + remaining_ms * (1.0 - ANSWER_MARGIN_RATIO)
        try:
            self._send_first(now_ms)
            await self._collect()
        except asyncio.CancelledError:
            self._end_open(cancel_sent=True)
            raise
        self._end_open(cancel_sent=self.must_restart)

    async def _collect(self) -> None:
        while True:
            while self.mailbox.outcomes:
                self._take(*self.mailbox.outcomes.popleft())
            if not self.unanswered or self.must_restart:
                return
            now_ms = self.tools.clock.now_ms()
            if now_ms >= self.collect_until_ms - TIMER_SLACK_MS or self._has_no_hope(now_ms):
                return
            if self._act_when_due(now_ms):
                continue
            wake_at_ms = min(self.collect_until_ms, self._next_due_ms())
            await self.mailbox.wait(wake_at_ms - now_ms)

    @property
    def replies(self) -> list[SubReply]:
        """Return the replies that have come, in the order of the shard map."""
        return [p.reply for p in self.progress_by_shard.values() if p.reply is not None]

    def _send_first(self, now_ms: float) -> None:
        shards = self.snapshot.shards_for(self.search.terms.keys)
        self.unanswered = len(shards)
        self.tools.hedge_budget.deposit(len(shards) * self.search.rule.hedge_ratio, now_ms)
        for shard in shards:
            progress = ShardProgress(shard, self.tools.service_state(shard.service))
            self.progress_by_shard[shard.name] = progress
            progress.service.deposit_retry(now_ms)
            self._send(progress)

    def _plan(self, progress: ShardProgress, act_at_ms: float) -> None:
        progress.act_at_ms = act_at_ms
        self.planned += 1
        heapq.heappush(self.due, (act_at_ms, self.planned, progress))

    def _next_due_ms(self) -> float:
        """Return when the next shard is due; plans that no longer hold are dropped."""
        while self.due:
            act_at_ms, _, progress = self.due[0]
            if progress.reply is None and act_at_ms == progress.act_at_ms:
                return act_at_ms
            heapq.heappop(self.due)
        return float("inf")

    def _act_when_due(self, now_ms: float) -> bool:
        """Act for the shard that is due; tell whether there was one."""
        if self._next_due_ms() > now_ms + TIMER_SLACK_MS:
            return False
        due_at_ms, _, progress = heapq.heappop(self.due)
        progress.act_at_ms = float("inf")
        if not progress.open_attempts:
            self._send(progress)
        elif not progress.hedged:
            hold_ms = self._hold_ms(progress, now_ms - due_at_ms)
            if hold_ms:
                progress.held_back = True
                self._plan(progress, now_ms + hold_ms)
                return True
            self._hedge(progress, now_ms)
        else:
            self._move_on(progress, now_ms)
        return True

    def _hold_ms(self, progress: ShardProgress, late_ms: float) -> float:
        """Return how long to hold a hedge back, once: only one among many is a straggler.

        While most shards are unanswered the delay is everywhere, and after a late wake-up replies
        may lie unread: hedges would only add to it.
        """
        if progress.held_back:
            return 0.0
        if late_ms > LATE_WAKE_MS:
            return LATE_WAKE_MS
        shards = len(self.progress_by_shard)
        if shards >= MIN_SHARDS_TO_COMPARE and 2 * self.unanswered > shards:
            return hedge_delay_ms(progress.service.window, self.search.rule.prefer)
        return 0.0

    def _send(self, progress: ShardProgress) -> None:
        """Send to the best replica; with none, or no budget for it, try again after a pause."""
        now_ms = self.tools.clock.now_ms()
        endpoint = self._choose(progress, now_ms)
        if endpoint is None:
            progress.tried.clear()
            progress.is_lost = not self._is_held(progress, now_ms)
            self.must_restart = progress.is_lost and self._may_restart(progress, now_ms)
            self._plan(progress, now_ms + progress.next_pause_ms())
            return
        purpose = progress.next_purpose
        if purpose is Purpose.RETRY and not self.tools.may_retry(progress.service, now_ms):
            self._plan(progress, now_ms + progress.next_pause_ms())
            return
        delay_ms = hedge_delay_ms(progress.service.window, self.search.rule.prefer)
        self._plan(progress, now_ms + delay_ms)
        self._submit(progress, endpoint, purpose, now_ms)

    def _hedge(self, progress: ShardProgress, now_ms: float) -> None:
        """Ask a second replica, if there is one at ease and the budget allows it."""
        progress.hedged = True
        self._plan(progress, now_ms + exchange_timeout_ms(progress.service.window))
        if not self.search.rule.idempotent:
            return
        endpoint = self._choose(progress, now_ms)
        if endpoint is None or not self.tools.may_hedge(progress.service, now_ms):
            return
        self._submit(progress, endpoint, Purpose.HEDGE, now_ms)

    def _move_on(self, progress: ShardProgress, now_ms: float) -> None:
        """Take back attempts that still wait for a connection, and try elsewhere."""
        for attempt in list(progress.open_attempts):
            if attempt.sent_at_ms is None:
                attempt.cancel()

    def _choose(self, progress: ShardProgress, now_ms: float) -> Endpoint | None:
        wanted = self.snapshot.index_version
        endpoints = self.tools.pool.endpoints_of(progress.shard.service)
        holding = [endpoint for endpoint in endpoints if endpoint.holds(wanted, now_ms)]
        return self.tools.choose(holding, progress.tried, now_ms)

    def _submit(
        self, progress: ShardProgress, endpoint: Endpoint, purpose: Purpose, now_ms: float
    ) -> None:
        request = SubRequest(
            request_id=self.search.request_id,
            attempt=self.attempts_before + len(self.attempts) + 1,
            shard=progress.shard.name,
            index_version=self.snapshot.index_version,
            deadline_at_ms=self.collect_until_ms,
            terms=self.search.terms,
        )
        attempt = Attempt(
            request,
            endpoint,
            self.mailbox.deliver,
            submitted_at_ms=now_ms,
            purpose=purpose,
            exchange_timeout_ms=exchange_timeout_ms(progress.service.window),
        )
        self.attempts.append(attempt)
        progress.opened(attempt)
        self.tools.counters.add("sub_requests", purpose.value)
        self.tools.pool.submit(attempt)

    def _take(self, attempt: Attempt, outcome: SubRequestOutcome) -> None:
        progress = self.progress_by_shard[attempt.request.shard]
        progress.open_attempts.remove(attempt)
        if progress.reply is not None:
            return
        match outcome:
            case Ok(reply):
                self._answered(progress, reply)
            case Err(failure):
                self._failed(progress, failure)

    def _failed(self, progress: ShardProgress, failure: Failure) -> None:
        if progress.open_attempts:
            return
        if failure.ran is not RunStatus.NOT_RUN and not self.search.rule.idempotent:
            progress.act_at_ms = float("inf")
            return
        self._send(progress)

    def _answered(self, progress: ShardProgress, reply: SubReply) -> None:
        progress.reply = reply
        self.unanswered -= 1
        first_sent_at_ms = progress.first_sent_at_ms
        if first_sent_at_ms is not None:
            progress.service.window.add(self.tools.clock.now_ms() - first_sent_at_ms)
        for loser in list(progress.open_attempts):
            self.tools.counters.add("cancelled", loser.purpose.value)
            loser.cancel()

    def _is_held(self, progress: ShardProgress, now_ms: float) -> bool:
        """Tell whether a well replica holds the version, or one that is being asked again."""
        wanted = self.snapshot.index_version
        for endpoint in self.tools.pool.endpoints_of(progress.shard.service):
            if endpoint.holds(wanted, now_ms) and (
                endpoint.is_healthy(now_ms) or endpoint.awaits_probe(now_ms)
            ):
                return True
        return False

    def _may_restart(self, progress: ShardProgress, now_ms: float) -> bool:
        """Tell whether another version can answer whole, and there is time for it."""
        if not self.tools.policy.snapshot_restarts:
            return False
        if now_ms - self.restart_checked_at_ms < RESTART_CHECK_INTERVAL_MS:
            return self.must_restart
        self.restart_checked_at_ms = now_ms
        typical_ms = progress.service.window.quantile_ms(0.5) or 0.0
        if self.collect_until_ms - now_ms < max(MIN_RESTART_MS, 2.0 * typical_ms):
            return False
        return self.other_snapshot() is not None

    def _has_no_hope(self, now_ms: float) -> bool:
        """Tell whether a rule that prefers the tail answers now: what is missing has no replica.

        A rule that prefers coverage waits for a replica to come back until time is up.
        """
        if self.search.rule.prefer is Preference.COVERAGE:
            return False
        if now_ms < self.search.deadline_at_ms - self.search.deadline_ms / 2.0:
            return False
        return all(p.is_lost for p in self.progress_by_shard.values() if p.reply is None)

    def _end_open(self, *, cancel_sent: bool) -> None:
        """Take back what is still open.

        An exchange that has been sent and is out of time is left to its link: the endpoint knows
        the deadline, and its late reply saves the connection. If the caller has gone or the search
        starts again, `cancel_sent` frees the slots of the endpoints at once.
        """
        for progress in self.progress_by_shard.values():
            for attempt in list(progress.open_attempts):
                if cancel_sent or attempt.sent_at_ms is None:
                    attempt.cancel()

"""One fan-out: the sub-requests of one search at one snapshot."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from radishmount.codes import Code, Ran
from radishmount.endpoints import Attempt, Endpoint, Outcome, SubReply, SubRequest
from radishmount.publication import Shard
from radishmount.queries._hedge import hedge_delay_ms
from radishmount.queries._search import Search
from radishmount.queries._tools import QueryTools
from radishmount.snapshots import Snapshot


__all__ = ["FanOut", "ShardProgress"]

RETRY_PAUSE_MS = 20.0


@dataclass(slots=True)
class ShardProgress:
    """What one shard of the fan-out waits for. `act_at_ms` is when to hedge or to try again."""

    shard: Shard
    open_attempts: list[Attempt] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    act_at_ms: float = 0.0
    reply: SubReply | None = None


@dataclass(slots=True)
class FanOut:
    """The state of one fan-out. `run` ends with every shard answered, or at the deadline."""

    search: Search
    snapshot: Snapshot
    tools: QueryTools
    progress_by_shard: dict[str, ShardProgress] = field(default_factory=dict)
    inbox: asyncio.Queue[tuple[Attempt, Outcome]] = field(default_factory=asyncio.Queue)
    attempts: int = 0
    unanswered: int = 0
    version_is_gone: bool = False

    async def run(self) -> None:
        """Send every sub-request, then take replies until all are there or time is up."""
        shards = self.snapshot.shards_for(self.search.terms.keys)
        self.unanswered = len(shards)
        self.tools.budget.earn(len(shards), self.search.rule.hedge_ratio)
        for shard in shards:
            progress = ShardProgress(shard)
            self.progress_by_shard[shard.name] = progress
            self._send(progress)
        while self.unanswered and not self.version_is_gone:
            now_ms = self.tools.clock.now_ms()
            if now_ms >= self.search.deadline_at_ms:
                break
            arrived = await self._next_arrival(now_ms)
            if arrived is None:
                self._act_on_time()
                continue
            self._take(*arrived)
        self._cancel_open()

    @property
    def replies(self) -> list[SubReply]:
        """Return the replies that have come, in the order of the shard map."""
        return [p.reply for p in self.progress_by_shard.values() if p.reply is not None]

    async def _next_arrival(self, now_ms: float) -> tuple[Attempt, Outcome] | None:
        """Return the next outcome, or none when it is time to act first."""
        if not self.inbox.empty():
            return self.inbox.get_nowait()
        waiting = (p.act_at_ms for p in self.progress_by_shard.values() if p.reply is None)
        wake_at_ms = min(self.search.deadline_at_ms, *waiting)
        if wake_at_ms <= now_ms:
            return None
        try:
            async with asyncio.timeout((wake_at_ms - now_ms) / 1000.0):
                return await self.inbox.get()
        except TimeoutError:
            return None

    def _act_on_time(self) -> None:
        now_ms = self.tools.clock.now_ms()
        for progress in self.progress_by_shard.values():
            if progress.reply is not None or progress.act_at_ms > now_ms:
                continue
            if not progress.open_attempts:
                self._send(progress)
                continue
            self._hedge(progress)

    def _send(self, progress: ShardProgress) -> None:
        """Send to the best replica; with none, look again after a pause."""
        now_ms = self.tools.clock.now_ms()
        endpoint = self._choose(progress, now_ms)
        if endpoint is None:
            progress.tried.clear()
            progress.act_at_ms = now_ms + RETRY_PAUSE_MS
            self._check_version(progress)
            return
        self._submit(progress, endpoint, now_ms)
        window = self.tools.window_of(progress.shard.service)
        progress.act_at_ms = now_ms + hedge_delay_ms(window, self.search.rule.prefer)

    def _hedge(self, progress: ShardProgress) -> None:
        """Ask a second replica once, if there is one and the budget allows it."""
        progress.act_at_ms = self.search.deadline_at_ms
        if not self.search.rule.idempotent or len(progress.open_attempts) > 1:
            return
        now_ms = self.tools.clock.now_ms()
        endpoint = self._choose(progress, now_ms)
        if endpoint is None or not self.tools.budget.spend():
            return
        self.tools.counters.add("sub_requests", "hedge")
        self._submit(progress, endpoint, now_ms)

    def _choose(self, progress: ShardProgress, now_ms: float) -> Endpoint | None:
        holding = [
            endpoint
            for endpoint in self.tools.pool.endpoints_of(progress.shard.service)
            if self.snapshot.index_version in endpoint.versions
        ]
        return self.tools.choose(holding, progress.tried, now_ms)

    def _submit(self, progress: ShardProgress, endpoint: Endpoint, now_ms: float) -> None:
        self.attempts += 1
        request = SubRequest(
            request_id=self.search.request_id,
            attempt=self.attempts,
            shard=progress.shard.name,
            index_version=self.snapshot.index_version,
            deadline_at_ms=self.search.deadline_at_ms,
            terms=self.search.terms,
        )
        attempt = Attempt(request, endpoint, self._deliver, submitted_at_ms=now_ms)
        progress.tried.add(endpoint.name)
        progress.open_attempts.append(attempt)
        self.tools.counters.add("sub_requests", "all")
        self.tools.pool.submit(attempt)

    def _deliver(self, attempt: Attempt, outcome: Outcome) -> None:
        self.inbox.put_nowait((attempt, outcome))

    def _take(self, attempt: Attempt, outcome: Outcome) -> None:
        progress = self.progress_by_shard[attempt.request.shard]
        progress.open_attempts.remove(attempt)
        if progress.reply is not None:
            return
        match outcome:
            case Ok(reply):
                self._answered(progress, attempt, reply)
            case Err(failure):
                if failure.ran is Ran.UNKNOWN and not self.search.rule.idempotent:
                    progress.act_at_ms = self.search.deadline_at_ms
                    return
                if failure.code is Code.WRONG_VERSION:
                    self._check_version(progress)
                if not progress.open_attempts:
                    self._send(progress)

    def _answered(self, progress: ShardProgress, attempt: Attempt, reply: SubReply) -> None:
        progress.reply = reply
        self.unanswered -= 1
        latency_ms = self.tools.clock.now_ms() - attempt.submitted_at_ms
        self.tools.window_of(progress.shard.service).add(latency_ms)
        for loser in progress.open_attempts:
            loser.cancel()

    def _check_version(self, progress: ShardProgress) -> None:
        """Give the snapshot up when no endpoint of a shard holds its version any more."""
        endpoints = self.tools.pool.endpoints_of(progress.shard.service)
        wanted = self.snapshot.index_version
        self.version_is_gone = not any(wanted in endpoint.versions for endpoint in endpoints)

    def _cancel_open(self) -> None:
        for progress in self.progress_by_shard.values():
            for attempt in progress.open_attempts:
                attempt.cancel()

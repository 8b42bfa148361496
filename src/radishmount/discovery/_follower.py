"""The task that follows the store: a full reading, then one watch after the other."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from result import Err, Result

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.discovery._endpoint_list import EndpointList
from radishmount.discovery._listed import ListedEndpoint
from radishmount.discovery._store import (
    ConfigurationEntry,
    EndpointEntry,
    Store,
    StoreAnswer,
    StoreFailure,
    StoreFault,
)
from radishmount.fleet import Backoff
from radishmount.publication import InForce


__all__ = ["StoreFollower"]

WATCH_WAIT_MS = 4_000  # a watch whose answer was lost is found out within what a change may take
SHORTEST_LAPSE_MS = 2_000.0  # entries lapse after three heartbeats, which take longer than this
SETTLE_MS = 250.0  # changes come in groups, and one watch for each group is enough
RETRY_FIRST_MS = 250.0  # about the time in which a store that restarted answers again
RETRY_LIMIT_MS = 1_500.0  # half of the time in which a new version is due everywhere

OnChange = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class StoreFollower:
    """Keeps configuration and endpoints in step with the store for as long as the instance runs.

    `on_change` is told after each group of changes of the endpoints. `revision` is where the next
    watch goes on, `held_revision` that of the endpoints here, which peers may have brought further.
    """

    store: Store
    endpoints: EndpointList
    in_force: InForce
    clock: Clock
    random: Random
    audit: AuditTrail
    counters: Counters
    on_change: OnChange
    revision: int | None = None
    held_revision: int = 0
    is_reached: bool = True
    heard_at_ms: float = 0.0
    calling: asyncio.Task[Result[StoreAnswer, StoreFailure]] | None = None
    is_doubted: bool = False
    renewed: asyncio.Event = field(default_factory=asyncio.Event)
    backoff: Backoff = field(init=False)

    def __post_init__(self) -> None:
        """Prepare the pauses between calls that fail; no renewal is asked for yet."""
        self.renewed.set()
        self.backoff = Backoff(self.random, RETRY_FIRST_MS, RETRY_LIMIT_MS)

    async def run(self) -> None:
        """Follow the store until the task is cancelled."""
        while True:
            answer = await self._call()
            if answer is None:
                continue
            if isinstance(answer, Err):
                await self._failed(answer.err_value)
                continue
            was_reading = self.revision is None
            self._reached()
            await self._take(answer.ok_value, is_full=was_reading)
            self.renewed.set()
            await self.clock.sleep_ms(SETTLE_MS)

    async def run_expiry(self) -> None:
        """Drop entries that stay missing after an outage."""
        while True:
            await self.clock.sleep_ms(SETTLE_MS)
            if self.endpoints.expire(self.clock.now_ms()):
                await self.on_change()

    async def take_from_peer(
        self,
        peer: str,
        revision: int,
        listed: Iterable[ListedEndpoint],
        missing: Iterable[str] = (),
    ) -> None:
        """Take the endpoints that a peer holds, where they are newer than those here."""
        if revision <= self.held_revision:
            return
        self.held_revision = revision
        self.heard_at_ms = self.clock.now_ms()
        self.endpoints.take_all(listed, missing, self.clock.now_ms())
        self.audit.record("endpoints", "taken", cause=f"peer {peer}", version=revision)
        await self.on_change()

    def doubt(self) -> None:
        """Begin the present watch anew, as a peer has had news for a while that it has not brought.

        An answer may be lost without a sign, and its connection then brings nothing any more.
        """
        if self.calling is not None and self.revision is not None and self.is_reached:
            self.is_doubted = True
            self.calling.cancel()

    async def renew(self) -> None:
        """Begin the present call anew, as after a pause, and wait until its answer was taken."""
        self.renewed.clear()
        if self.calling is not None:
            self.calling.cancel()
        await self.renewed.wait()

    async def _call(self) -> Result[StoreAnswer, StoreFailure] | None:
        """Return the answer of the next call, none where it is to be begun anew."""
        self.calling = asyncio.create_task(self._ask_store(), name="ask store")
        try:
            return await self.calling
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            if not self.is_doubted:
                return None
            refusal = Refusal(Code.PLATFORM_DOWN, detail="peers have later news")
            return Err(StoreFailure(StoreFault.UNAVAILABLE, refusal))
        finally:
            self.calling = None
            self.is_doubted = False

    async def _ask_store(self) -> Result[StoreAnswer, StoreFailure]:
        if self.revision is None:
            self.counters.add("store_calls", "range")
            return await self.store.read_all()
        self.counters.add("store_calls", "watch")
        # Whether the store is back, or what was missed, is known at once.
        wait_ms = WATCH_WAIT_MS if self.is_reached and self.renewed.is_set() else 0
        return await self.store.watch(self.revision, wait_ms)

    async def _failed(self, failure: StoreFailure) -> None:
        self.counters.add("store_failures", failure.refusal.code.name)
        if failure.fault is StoreFault.HISTORY_LOST:
            self.audit.record("store", "history lost", cause=str(failure.refusal))
            self.revision = None
            return
        if self.is_reached:
            self.is_reached = False
            self.heard_at_ms = self.clock.now_ms()
            self.audit.record("store", "lost", cause=str(failure.refusal))
        await self.clock.sleep_ms(self.backoff.next_ms())

    def age_ms(self) -> float:
        """Return how long ago the endpoints here were last known to be the newest.

        A watch that waits for changes keeps them young for as long as the store is reached.
        """
        return 0.0 if self.is_reached else self.clock.now_ms() - self.heard_at_ms

    def _reached(self) -> None:
        self.backoff.reset()
        now_ms = self.clock.now_ms()
        away_ms = now_ms - self.heard_at_ms
        self.heard_at_ms = now_ms
        if self.is_reached:
            return
        self.is_reached = True
        # Where peers had later news, the store was away for this instance only.
        if away_ms >= SHORTEST_LAPSE_MS and self.held_revision <= (self.revision or 0):
            self.endpoints.begin_grace(now_ms)
        self.audit.record("store", "regained", cause="it answers again")

    async def _take(self, answer: StoreAnswer, *, is_full: bool) -> None:
        now_ms = self.clock.now_ms()
        self.revision = answer.revision
        listed_by_name: dict[str, ListedEndpoint | None] = {}
        changed = False
        for entry in answer.entries:
            if isinstance(entry, ConfigurationEntry):
                await self.in_force.take(entry.body, source="store")
                continue
            if answer.revision < self.held_revision:
                continue  # a peer has brought later ones
            changed = True
            listed = entry.listed if isinstance(entry, EndpointEntry) else None
            if is_full:
                listed_by_name[entry.name] = listed
            elif isinstance(entry, EndpointEntry):
                self.endpoints.put(entry.name, listed, now_ms)
            else:
                self.endpoints.remove(entry.name, now_ms)
        if is_full and answer.revision >= self.held_revision:
            self.endpoints.replace_all(listed_by_name, now_ms)
            changed = True
        self.held_revision = max(self.held_revision, answer.revision)
        if changed:
            await self.on_change()

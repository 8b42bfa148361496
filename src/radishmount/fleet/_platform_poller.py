"""The watch on the platform: a long poll by those whose duty it is, a rare read by the others."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Protocol, TypeVar

from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.fleet._backoff import Backoff
from radishmount.fleet._fleet import Fleet, InstanceList
from radishmount.fleet._watchers import fallback_interval_ms, is_watcher


__all__ = ["InstanceListSource", "InstanceListUpdater", "PlatformPoller", "ApplyResult"]

WATCH_WAIT_MS = 10_000
DUTY_CHECK_MS = 1_000.0
READ_AGAIN_FIRST_MS = 500.0
READ_AGAIN_LIMIT_MS = 10_000.0
MIN_READ_INTERVAL_MS = 200.0

T = TypeVar("T")
Read = Callable[[int], Awaitable[Result[T | None, Refusal]]]
OnList = Callable[[InstanceList], Awaitable[None]]


class ApplyResult(StrEnum):
    """What became of a value that was read."""

    NEWER = "newer"
    SAME = "same"
    REFUSED = "refused"


Take = Callable[[T], Awaitable[ApplyResult]]


class InstanceListSource(Protocol):
    """Where the instance list comes from."""

    async def instance_list(self, after: int, wait_ms: int) -> Result[InstanceList | None, Refusal]:
        """Return the list newer than version `after`, or none within `wait_ms`."""


@dataclass(slots=True)
class InstanceListUpdater:
    """The fleet that the list renews, and who is told of each newer list."""

    fleet: Fleet
    audit: AuditTrail
    counters: Counters
    clock: Clock
    on_change: list[OnList] = field(default_factory=list)

    async def apply(self, instance_list: InstanceList, source: str = "platform") -> ApplyResult:
        """Take a newer list.

        A list without any instance is refused: there is at least the one that reads it.
        """
        if instance_list.version > self.fleet.list_version and not instance_list.instances:
            self.counters.add("lists_refused", Code.PLATFORM_RUBBISH.name)
            return ApplyResult.REFUSED
        if instance_list.version == self.fleet.list_version:
            return ApplyResult.SAME
        if not self.fleet.apply_list(instance_list):
            self.counters.add("lists_refused", Code.PLATFORM_WENT_BACK.name)
            return ApplyResult.REFUSED
        version = instance_list.version
        self.audit.record("instance list", "taken", cause=source, version=version)
        for tell in self.on_change:
            await tell(instance_list)
        return ApplyResult.NEWER


@dataclass(slots=True)
class PlatformPoller:
    """Reads one value of the platform for as long as the instance runs.

    `read` waits at the platform for the given milliseconds at most. `first_read` is set after the
    first answer or failure.
    """

    fleet: Fleet
    clock: Clock
    random: Random
    counters: Counters
    label: str
    first_read: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self, read: Read[T], take: Take[T]) -> None:
        """Read at the start, then watch or fall back, as the duty is."""
        self.first_read.clear()
        backoff = Backoff(self.random, READ_AGAIN_FIRST_MS, READ_AGAIN_LIMIT_MS)
        wait_ms = 0
        while True:
            started_at_ms = self.clock.now_ms()
            self.counters.add("platform_reads", self.label)
            is_well = await self._read_once(read, take, wait_ms)
            self.first_read.set()
            if not is_well:
                await self.clock.sleep_ms(backoff.next_ms())
                wait_ms = 0
                continue
            backoff.reset()
            if not is_watcher(self.fleet):
                await self._wait_for_duty()
            # A platform that answers a long poll at once must not be read without pause.
            passed_ms = self.clock.now_ms() - started_at_ms
            await self.clock.sleep_ms(max(0.0, MIN_READ_INTERVAL_MS - passed_ms))
            wait_ms = WATCH_WAIT_MS if is_watcher(self.fleet) else 0

    async def _read_once(self, read: Read[T], take: Take[T], wait_ms: int) -> bool:
        match await read(wait_ms):
            case Err(refusal):
                self.counters.add("platform_errors", refusal.code.name)
                return False
            case Ok(value):
                return value is None or await take(value) is not ApplyResult.REFUSED
        return False

    async def _wait_for_duty(self) -> None:
        """Wait until the duty falls to this instance, or until it is time for a rare read."""
        interval_ms = fallback_interval_ms(self.fleet) * self.random.uniform(0.75, 1.25)
        until_ms = self.clock.now_ms() + interval_ms
        while self.clock.now_ms() < until_ms and not is_watcher(self.fleet):
            await self.clock.sleep_ms(min(DUTY_CHECK_MS, until_ms - self.clock.now_ms()))

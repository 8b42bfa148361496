"""Reads of the platform: long polls by the watchers, rare reads by the other instances."""

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

LONG_POLL_MS = 10_000
WATCHER_CHECK_INTERVAL_MS = 1_000.0
RETRY_INITIAL_MS = 500.0
RETRY_MAX_MS = 10_000.0
MIN_READ_INTERVAL_MS = 200.0

T = TypeVar("T")
Read = Callable[[int], Awaitable[Result[T | None, Refusal]]]
OnList = Callable[[InstanceList], Awaitable[None]]


class ApplyResult(StrEnum):
    """The result of applying a value that was read."""

    NEWER = "newer"
    SAME = "same"
    REFUSED = "refused"


Apply = Callable[[T], Awaitable[ApplyResult]]


class InstanceListSource(Protocol):
    """A source of the instance list."""

    async def instance_list(self, after: int, wait_ms: int) -> Result[InstanceList | None, Refusal]:
        """Return the list newer than version `after`, or none within `wait_ms`."""


@dataclass(slots=True)
class InstanceListUpdater:
    """Applies newer instance lists to the fleet, and calls `on_change` with each."""

    fleet: Fleet
    audit: AuditTrail
    counters: Counters
    clock: Clock
    on_change: list[OnList] = field(default_factory=list)

    async def apply(self, instance_list: InstanceList, source: str = "platform") -> ApplyResult:
        """Apply a list if it is newer than the present one.

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
        for callback in self.on_change:
            await callback(instance_list)
        return ApplyResult.NEWER


@dataclass(slots=True)
class PlatformPoller:
    """Reads one value of the platform for as long as the instance runs.

    `label` names the value in metrics. `first_read` is set after the first answer or failure since
    `run` began.
    """

    fleet: Fleet
    clock: Clock
    random: Random
    counters: Counters
    label: str
    first_read: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self, read: Read[T], apply: Apply[T]) -> None:
        """Read once, then by long polls while this instance is a watcher, else at long intervals.

        `read` is called with the milliseconds to wait at the platform for a newer value.
        """
        self.first_read.clear()
        backoff = Backoff(self.random, RETRY_INITIAL_MS, RETRY_MAX_MS)
        wait_ms = 0
        while True:
            started_at_ms = self.clock.now_ms()
            self.counters.add("platform_reads", self.label)
            has_succeeded = await self._read_once(read, apply, wait_ms)
            self.first_read.set()
            if not has_succeeded:
                await self.clock.sleep_ms(backoff.next_ms())
                wait_ms = 0
                continue
            backoff.reset()
            if not is_watcher(self.fleet):
                await self._wait_for_next_read()
            # Without a pause, a platform that answers long polls at once would be read in a loop.
            passed_ms = self.clock.now_ms() - started_at_ms
            await self.clock.sleep_ms(max(0.0, MIN_READ_INTERVAL_MS - passed_ms))
            wait_ms = LONG_POLL_MS if is_watcher(self.fleet) else 0

    async def _read_once(self, read: Read[T], apply: Apply[T], wait_ms: int) -> bool:
        match await read(wait_ms):
            case Err(refusal):
                self.counters.add("platform_errors", refusal.code.name)
                return False
            case Ok(value):
                return value is None or await apply(value) is not ApplyResult.REFUSED
        return False

    async def _wait_for_next_read(self) -> None:
        """Wait until this instance becomes a watcher or the interval of a rare read is over."""
        interval_ms = fallback_interval_ms(self.fleet) * self.random.uniform(0.75, 1.25)
        until_ms = self.clock.now_ms() + interval_ms
        while self.clock.now_ms() < until_ms and not is_watcher(self.fleet):
            await self.clock.sleep_ms(
                min(WATCHER_CHECK_INTERVAL_MS, until_ms - self.clock.now_ms())
            )

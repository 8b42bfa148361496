"""The watch on the platform's instance list."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Refusal
from radishmount.counters import Counters
from radishmount.fleet._fleet import Fleet, InstanceList


__all__ = ["InstanceListSource", "ListWatch", "watch_instances"]

WATCH_WAIT_MS = 10_000
PAUSE_AFTER_ERROR_MS = 500.0

OnList = Callable[[InstanceList], Awaitable[None]]


class InstanceListSource(Protocol):
    """Where the instance list comes from."""

    async def instance_list(self, after: int, wait_ms: int) -> Result[InstanceList | None, Refusal]:
        """Return the list newer than version `after`, or none within `wait_ms`."""


@dataclass(slots=True)
class ListWatch:
    """The fleet that the list renews, and who is told of each newer list."""

    fleet: Fleet
    audit: AuditTrail
    counters: Counters
    clock: Clock
    on_change: list[OnList] = field(default_factory=list)

    async def take(self, instance_list: InstanceList) -> bool:
        """Take a newer list; tell whether it was newer."""
        if not self.fleet.take_list(instance_list):
            return False
        version = instance_list.version
        self.audit.record("instance list", "taken", cause="platform", version=version)
        for tell in self.on_change:
            await tell(instance_list)
        return True


async def watch_instances(watch: ListWatch, source: InstanceListSource) -> None:
    """Hold a long poll at the platform and take each newer list."""
    while True:
        match await source.instance_list(watch.fleet.list_version, WATCH_WAIT_MS):
            case Err(refusal):
                watch.counters.add("platform_errors", refusal.code.name)
            case Ok(instance_list):
                if instance_list is None:
                    continue
                if await watch.take(instance_list):
                    continue
        await watch.clock.sleep_ms(PAUSE_AFTER_ERROR_MS)

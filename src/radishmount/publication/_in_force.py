"""The version in force on this instance, and the watch that renews it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Refusal
from radishmount.counters import Counters
from radishmount.publication._fault import Fault
from radishmount.publication._publication import EMPTY_PUBLICATION, Publication


__all__ = ["ConfigurationSource", "InForce", "ReadBundle", "watch_configuration"]

WATCH_WAIT_MS = 10_000
PAUSE_AFTER_ERROR_MS = 500.0

ReadBundle = Callable[[bytes], Result[Publication, list[Fault]]]
OnPublication = Callable[[Publication], Awaitable[None]]


class ConfigurationSource(Protocol):
    """Where bundles come from. Each call counts once at the platform, a waiting one too."""

    async def bundle(self, after: int, wait_ms: int) -> Result[bytes | None, Refusal]:
        """Return the bundle newer than version `after`, or none within `wait_ms`."""


@dataclass(slots=True)
class InForce:
    """The publication in force. It never goes back; `on_change` is told of each new one."""

    read_bundle: ReadBundle
    audit: AuditTrail
    counters: Counters
    clock: Clock
    current: Publication = EMPTY_PUBLICATION
    body: bytes = b""
    since_ms: float = 0.0
    on_change: list[OnPublication] = field(default_factory=list)

    async def take(self, body: bytes, source: str) -> bool:
        """Put a bundle in force if it is whole, valid and newer; tell whether it was."""
        match self.read_bundle(body):
            case Err(faults):
                return self._refuse(str(faults[0]), faults[0].code.name, source)
            case Ok(publication):
                pass
        match publication.may_follow(self.current):
            case Err(refusal):
                return self._refuse(str(refusal), refusal.code.name, source)
            case _:
                pass
        if publication.version == self.current.version:
            return False
        self.current = publication
        self.body = body
        self.since_ms = self.clock.now_ms()
        self.audit.record("publication", "in force", cause=source, version=publication.version)
        for tell in self.on_change:
            await tell(publication)
        return True

    def _refuse(self, cause: str, code_name: str, source: str) -> bool:
        self.counters.add("bundles_refused", code_name)
        version = self.current.version
        self.audit.record("publication", f"refused from {source}", cause=cause, version=version)
        return False


async def watch_configuration(in_force: InForce, source: ConfigurationSource) -> None:
    """Hold a long poll at the platform and put each newer bundle in force."""
    while True:
        match await source.bundle(in_force.current.version, WATCH_WAIT_MS):
            case Err(refusal):
                in_force.counters.add("platform_errors", refusal.code.name)
            case Ok(body):
                if body is None:
                    continue
                if await in_force.take(body, source="platform"):
                    continue
        await in_force.clock.sleep_ms(PAUSE_AFTER_ERROR_MS)

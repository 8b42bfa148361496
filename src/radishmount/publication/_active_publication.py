"""The version in force on this instance, which never goes back."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code
from radishmount.counters import Counters
from radishmount.fleet import ApplyResult
from radishmount.publication._diagnostic import Diagnostic
from radishmount.publication._publication import EMPTY_PUBLICATION, Publication


__all__ = ["ActivePublication", "ReadBundle"]

KEPT_REFUSALS = 256

ReadBundle = Callable[[bytes], Result[Publication, list[Diagnostic]]]
OnPublication = Callable[[Publication], Awaitable[None]]


@dataclass(slots=True)
class ActivePublication:
    """The publication in force. It never goes back; `on_change` is told of each new one.

    What is told must not suspend: a renewal after a pause may cancel the task that tells.

    `refusals` holds what was refused, so that one fault is recorded once for each source, however
    often it is offered.
    """

    read_bundle: ReadBundle
    audit: AuditTrail
    counters: Counters
    clock: Clock
    current: Publication = EMPTY_PUBLICATION
    body: bytes = b""
    since_ms: float = 0.0
    on_change: list[OnPublication] = field(default_factory=list)
    refusals: dict[tuple[str, str], int] = field(default_factory=dict)

    def age_ms(self) -> float:
        """Return for how long the version has been in force here."""
        return self.clock.now_ms() - self.since_ms if self.current.version else 0.0

    async def apply(self, body: bytes, source: str) -> ApplyResult:
        """Put a bundle in force if it is whole, valid and newer."""
        match self.read_bundle(body):
            case Err(faults):
                return self._refuse(str(faults[0]), faults[0].code, source)
            case Ok(publication):
                pass
        match publication.may_follow(self.current):
            case Err(refusal):
                return self._refuse(str(refusal), refusal.code, source)
            case _:
                pass
        if publication.version == self.current.version:
            return ApplyResult.SAME
        self.current = publication
        self.body = body
        self.since_ms = self.clock.now_ms()
        self.audit.record("publication", "in force", cause=source, version=publication.version)
        for tell in self.on_change:
            await tell(publication)
        return ApplyResult.NEWER

    def check_remote_version(self, version: int, digest: str, source: str) -> bool:
        """Take note of what another source holds; tell whether it is newer than the present one.

        The same version with another digest is an operators' race: it is refused here, and both
        sides keep what they hold until a higher version is published.
        """
        if version == self.current.version and digest != self.current.digest:
            detail = f"version {version} is {digest} at {source}, {self.current.digest} here"
            self._refuse(detail, Code.DIGEST_CONFLICT, source)
        return version > self.current.version

    def _refuse(self, cause: str, code: Code, source: str) -> ApplyResult:
        self.counters.add("bundles_refused", code.name)
        version = self.current.version
        if len(self.refusals) >= KEPT_REFUSALS:
            self.refusals.clear()
        key = (source, cause)
        self.refusals[key] = self.refusals.get(key, 0) + 1
        if self.refusals[key] == 1:
            self.audit.record("publication", f"refused from {source}", cause=cause, version=version)
        return ApplyResult.REFUSED

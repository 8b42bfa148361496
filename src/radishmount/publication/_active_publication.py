"""The publication that is active on this instance, whose version never decreases."""

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

MAX_REFUSAL_COUNTS = 256

ReadBundle = Callable[[bytes], Result[Publication, list[Diagnostic]]]
OnActivation = Callable[[Publication], Awaitable[None]]


@dataclass(slots=True)
class ActivePublication:
    """Holds the active publication and calls `on_change` with each new one.

    The callbacks must not suspend: a refresh after a pause may cancel the task that runs them.

    `refusal_counts` counts refusals by source and cause, so that the audit trail gets one line for
    each pair, however often the source offers the same bundle.
    """

    read_bundle: ReadBundle
    audit: AuditTrail
    counters: Counters
    clock: Clock
    current: Publication = EMPTY_PUBLICATION
    body: bytes = b""
    active_since_ms: float = 0.0
    on_change: list[OnActivation] = field(default_factory=list)
    refusal_counts: dict[tuple[str, str], int] = field(default_factory=dict)

    def age_ms(self) -> float:
        """Return for how long the version has been active on this instance."""
        return self.clock.now_ms() - self.active_since_ms if self.current.version else 0.0

    async def apply(self, body: bytes, source: str) -> ApplyResult:
        """Make a bundle active if it is readable, valid and newer than the active one."""
        match self.read_bundle(body):
            case Err(diagnostics):
                return self._refuse(str(diagnostics[0]), diagnostics[0].code, source)
            case Ok(publication):
                pass
        match publication.may_replace(self.current):
            case Err(refusal):
                return self._refuse(str(refusal), refusal.code, source)
            case _:
                pass
        if publication.version == self.current.version:
            return ApplyResult.SAME
        self.current = publication
        self.body = body
        self.active_since_ms = self.clock.now_ms()
        self.audit.record("publication", "in force", cause=source, version=publication.version)
        for notify in self.on_change:
            await notify(publication)
        return ApplyResult.NEWER

    def check_remote_version(self, version: int, digest: str, source: str) -> bool:
        """Compare the version of another source with the active one; return whether it is newer.

        The same version with another digest means that two operators published at once. The other
        publication is refused, and both sides keep their own until a higher version is published.
        """
        if version == self.current.version and digest != self.current.digest:
            detail = f"version {version} is {digest} at {source}, {self.current.digest} here"
            self._refuse(detail, Code.DIGEST_CONFLICT, source)
        return version > self.current.version

    def _refuse(self, cause: str, code: Code, source: str) -> ApplyResult:
        self.counters.add("bundles_refused", code.name)
        version = self.current.version
        if len(self.refusal_counts) >= MAX_REFUSAL_COUNTS:
            self.refusal_counts.clear()
        key = (source, cause)
        self.refusal_counts[key] = self.refusal_counts.get(key, 0) + 1
        if self.refusal_counts[key] == 1:
            self.audit.record("publication", f"refused from {source}", cause=cause, version=version)
        return ApplyResult.REFUSED

"""The audit trail: each change of state, with its cause and the version in force."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from radishmount.clock import Clock


__all__ = ["AuditLine", "AuditTrail"]

KEPT_LINES = 1000


@dataclass(frozen=True, slots=True)
class AuditLine:
    """One change of state. Times are in milliseconds, `at_ms` of the time of day."""

    sequence: int
    at_ms: float
    subject: str
    change: str
    cause: str
    version: int


@dataclass(slots=True)
class AuditTrail:
    """Keeps the last changes of state in memory and hands each one to `emit`.

    trail.record("endpoint/catalogue-01-a", "ejected", cause="3 timeouts", version=7)
    """

    clock: Clock
    emit: Callable[[AuditLine], None] = lambda line: None
    lines: deque[AuditLine] = field(default_factory=lambda: deque(maxlen=KEPT_LINES))
    sequence: int = 0

    def record(self, subject: str, change: str, *, cause: str, version: int = 0) -> None:
        """Append one change of `subject` and emit it."""
        self.sequence += 1
        line = AuditLine(
            sequence=self.sequence,
            at_ms=self.clock.wall_ms(),
            subject=subject,
            change=change,
            cause=cause,
            version=version,
        )
        self.lines.append(line)
        self.emit(line)

"""The audit trail, which records each change of state with its cause."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from radishmount.clock import Clock


__all__ = ["AuditLine", "AuditTrail"]

MAX_LINES = 1000


@dataclass(frozen=True, slots=True)
class AuditLine:
    """One change of state of `subject`.

    `at_ms` is the wall-clock time in milliseconds. `version` is the one that the change belongs
    to, such as that of the publication, or 0.
    """

    sequence: int
    at_ms: float
    subject: str
    change: str
    cause: str
    version: int


@dataclass(slots=True)
class AuditTrail:
    """Keeps the latest changes of state in memory and passes each one to `emit`.

    trail.record("endpoint/catalogue-01-a", "ejected", cause="3 timeouts", version=7)
    """

    clock: Clock
    emit: Callable[[AuditLine], None] = lambda line: None
    lines: deque[AuditLine] = field(default_factory=lambda: deque(maxlen=MAX_LINES))
    sequence: int = 0

    def record(self, subject: str, change: str, *, cause: str, version: int = 0) -> None:
        """Record one change of `subject` and emit it."""
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

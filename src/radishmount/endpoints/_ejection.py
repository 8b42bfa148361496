"""Ejection: when an endpoint gets no more work for failures of connection or time."""

from dataclasses import dataclass


__all__ = ["Ejection", "ejectable"]

FAILURES_BEFORE_EJECTION = 3
SUSPICIONS_BEFORE_EJECTION = 6
STEADY_MS = 5_000.0
FIXED_EJECTION_MS = 2_000.0


def ejectable(replicas: int) -> int:
    """Return how many of a shard's replicas may be ejected at once: half, rounded down."""
    return replicas // 2


@dataclass(slots=True)
class Ejection:
    """The failures of one endpoint in a row, and since when it is ejected.

    It ends after the endpoint has been well for `STEADY_MS` without a failure in between. Where
    `steady` is off it ends a fixed time after it began.
    """

    steady: bool = True
    failures_in_row: int = 0
    suspicions_in_row: int = 0
    since_ms: float | None = None
    well_since_ms: float | None = None

    def failed(self, now_ms: float) -> bool:
        """Count a failure; tell whether the endpoint is now due for ejection."""
        self.failures_in_row += 1
        self.well_since_ms = None
        return self.since_ms is None and self.failures_in_row >= FAILURES_BEFORE_EJECTION

    def suspected(self) -> bool:
        """Count an exchange that was lost although new connections work; tell whether to eject."""
        self.suspicions_in_row += 1
        return self.since_ms is None and self.suspicions_in_row >= SUSPICIONS_BEFORE_EJECTION

    def answered(self) -> None:
        """Take an exchange that was answered."""
        self.suspicions_in_row = 0

    def begin(self, now_ms: float) -> None:
        """Eject the endpoint."""
        self.since_ms = now_ms
        self.well_since_ms = None
        self.suspicions_in_row = 0

    def succeeded(self, now_ms: float) -> bool:
        """Count a reply or an answered probe; tell whether it ends an ejection."""
        self.failures_in_row = 0
        if self.since_ms is None:
            return False
        if self.well_since_ms is None:
            self.well_since_ms = now_ms
        began_ms = self.well_since_ms if self.steady else self.since_ms
        if now_ms - began_ms < (STEADY_MS if self.steady else FIXED_EJECTION_MS):
            return False
        self.since_ms = None
        self.well_since_ms = None
        return True

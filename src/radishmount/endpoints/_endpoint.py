"""The root of the aggregate: one endpoint and the evidence that this instance has of it."""

from dataclasses import dataclass, field

from radishmount.codes import Code
from radishmount.endpoints._exchange import Failure, LoadReport
from radishmount.publication import EndpointSpec


__all__ = ["Endpoint"]

LATENCY_WEIGHT = 0.2
EVIDENCE_MAX_AGE_MS = 2_000.0
FAILURES_BEFORE_EJECTION = 3
EJECTION_MS = 2_000.0


@dataclass(slots=True)
class Endpoint:
    """One endpoint as this instance knows it. Times are in milliseconds of the clock."""

    spec: EndpointSpec
    slots: int
    in_flight: int = 0
    latency_ms: float = 0.0
    report: LoadReport = field(default_factory=LoadReport)
    reported_at_ms: float | None = None
    listed_as_leaving: bool = False
    failures_in_row: int = 0
    ejected_until_ms: float = 0.0

    @property
    def name(self) -> str:
        """Return the published name."""
        return self.spec.name

    @property
    def versions(self) -> frozenset[int]:
        """Return the index versions that the endpoint last said it holds."""
        return self.report.versions

    def may_take_work(self, now_ms: float) -> bool:
        """Tell whether there is young evidence that the endpoint lives and is not leaving."""
        if self.listed_as_leaving or self.report.draining:
            return False
        if self.reported_at_ms is None or now_ms - self.reported_at_ms > EVIDENCE_MAX_AGE_MS:
            return False
        return now_ms >= self.ejected_until_ms

    def took_request(self) -> None:
        """Count a request that was sent."""
        self.in_flight += 1

    def replied(self, report: LoadReport, now_ms: float, latency_ms: float) -> None:
        """Take a reply as evidence of life, load and latency."""
        self.in_flight -= 1
        self.failures_in_row = 0
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self.reported(report, now_ms)

    def reported(self, report: LoadReport, now_ms: float) -> None:
        """Take what the endpoint says of itself."""
        self.report = report
        self.reported_at_ms = now_ms

    def failed(self, failure: Failure, now_ms: float) -> None:
        """Take a failed attempt; only failures of connection and time lead to ejection."""
        self.in_flight -= 1
        if failure.load is not None:
            self.reported(failure.load, now_ms)
        self.blame(failure, now_ms)

    def blame(self, failure: Failure, now_ms: float) -> None:
        """Count a failure of connection or time towards ejection."""
        if failure.code not in (Code.TIMED_OUT, Code.CONNECTION_LOST, Code.NOT_CONNECTED):
            return
        self.failures_in_row += 1
        if self.failures_in_row >= FAILURES_BEFORE_EJECTION:
            self.ejected_until_ms = now_ms + EJECTION_MS

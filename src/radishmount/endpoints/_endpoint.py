"""The root of the aggregate: one endpoint and the evidence that this instance has of it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from radishmount.codes import Code
from radishmount.endpoints._ejection import Ejection
from radishmount.endpoints._exchange import Failure, LoadReport
from radishmount.endpoints._latency import LatencyEstimate
from radishmount.endpoints._limit import InFlightLimit
from radishmount.endpoints._success_rate import SuccessRate
from radishmount.publication import EndpointSpec


__all__ = ["HEALTH_MAX_AGE_MS", "Endpoint"]

HEALTH_MAX_AGE_MS = 2_000.0
DENIAL_KEPT_MS = 2_000.0
LEAVING_KEPT_MS = 2_000.0
NEVER_MS = float("-inf")
BLAMED_CODES = frozenset({Code.TIMED_OUT, Code.CONNECTION_LOST, Code.NOT_CONNECTED})
UNRELIABLE_CODES = frozenset(
    {Code.SHED, Code.CONNECTION_LOST, Code.BAD_REPLY, Code.ENDPOINT_ERROR, Code.OTHER_ENDPOINT}
)

OnChange = Callable[["Endpoint", str, str], None]


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint as this instance knows it. Times are in milliseconds of the clock.

    Evidence is dated by when its request was sent, so that a pause of this process between
    request and reply makes no old word young. `may_eject` tells whether the shard's other
    replicas allow an ejection; `on_change` is told of ejection, recovery and leaving. Where
    discovery follows the endpoint's own heartbeats, `is_tracked_by_discovery` takes the place of
    evidence from probes. `may_connect` tells whether this instance may connect to it at all.
    """

    spec: EndpointSpec
    slots: int
    may_eject: Callable[["Endpoint"], bool] = lambda endpoint: True
    on_change: OnChange = lambda endpoint, change, cause: None
    is_tracked_by_discovery: bool = False
    may_connect: bool = True
    in_flight: int = 0
    active_exchanges: int = 0
    latency: LatencyEstimate = field(default_factory=LatencyEstimate)
    success_rate: SuccessRate = field(default_factory=SuccessRate)
    limit: InFlightLimit = field(default_factory=InFlightLimit)
    ejection: Ejection = field(default_factory=Ejection)
    report: LoadReport = field(default_factory=LoadReport)
    reported_at_ms: float | None = None
    load_of_others: int = 0
    available_since_ms: float = NEVER_MS
    shed_at_ms: float = NEVER_MS
    queued_at_ms: float = NEVER_MS
    listed_as_leaving: bool = False
    seen_leaving_at_ms: float = NEVER_MS
    announced_leaving: bool = False
    missing_until_ms_by_version: dict[int, float] = field(default_factory=dict)
    sent_at_ms_by_exchange: dict[int, float] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Return the published name."""
        return self.spec.name

    @property
    def versions(self) -> frozenset[int]:
        """Return the index versions that the endpoint last said it holds."""
        return self.report.versions

    @property
    def usable_slots(self) -> int:
        """Return the slots that it reports, at most those published."""
        if self.report.slots <= 0:
            return self.slots
        return min(self.report.slots, self.slots)

    def holds(self, index_version: int, now_ms: float) -> bool:
        """Tell whether it says it holds a version and has not just answered the contrary."""
        if index_version not in self.report.versions:
            return False
        denied_until_ms = self.missing_until_ms_by_version.get(index_version)
        return denied_until_ms is None or now_ms >= denied_until_ms

    def is_leaving(self, now_ms: float) -> bool:
        """Tell whether the list, its report or a refusal says that it is leaving."""
        if self.listed_as_leaving or self.report.draining:
            return True
        return now_ms - self.seen_leaving_at_ms < LEAVING_KEPT_MS

    def is_health_fresh(self, now_ms: float) -> bool:
        """Tell whether there is evidence young enough to send new work on."""
        if self.is_tracked_by_discovery:
            return True
        return self.reported_at_ms is not None and (
            now_ms - self.reported_at_ms <= HEALTH_MAX_AGE_MS
        )

    def health_age_ms(self, now_ms: float) -> float:
        """Return the age of the evidence, without end where there is none."""
        return float("inf") if self.reported_at_ms is None else now_ms - self.reported_at_ms

    def is_available(self, now_ms: float) -> bool:
        """Tell whether there is young evidence that it lives and is not leaving."""
        return self.may_connect and self.is_health_fresh(now_ms) and not self.is_leaving(now_ms)

    def is_eligible(self, now_ms: float) -> bool:
        """Tell whether it is live and not ejected."""
        return self.ejection.ejected_since_ms is None and self.is_available(now_ms)

    def is_healthy(self, now_ms: float) -> bool:
        """Tell whether it may take work and its last new connection did not fail."""
        return self.ejection.consecutive_failures == 0 and self.is_eligible(now_ms)

    def awaits_probe(self, now_ms: float) -> bool:
        """Tell whether its evidence is merely old: no probe has failed since."""
        return not self.is_health_fresh(now_ms) and self.ejection.consecutive_failures == 0

    def oldest_exchange_age_ms(self, now_ms: float) -> float:
        """Return for how long the oldest exchange has been open, zero when there is none."""
        for sent_at_ms in self.sent_at_ms_by_exchange.values():
            return now_ms - sent_at_ms
        return 0.0

    def estimated_latency_ms(self, least_ms: float, now_ms: float) -> float:
        """Return the latency to expect, at least the age of an exchange that is still open.

        So an endpoint that has just stopped answering is known before any time-out. `least_ms` is
        the latency of the quickest replica, which old evidence falls back to.
        """
        return max(
            self.latency.decayed_towards(least_ms, now_ms), self.oldest_exchange_age_ms(now_ms)
        )

    def record_error_answer(self, now_ms: float) -> None:
        """Take an answer that the caller cannot use, such as an error of the endpoint."""
        self.success_rate.record_failure(now_ms)

    def request_submitted(self) -> None:
        """Count a request that was handed over."""
        self.in_flight += 1

    def request_ended(self) -> None:
        """Count the end of a request that was handed over."""
        self.in_flight -= 1

    def record_reply(self, report: LoadReport, sent_at_ms: float, now_ms: float) -> None:
        """Take a reply as evidence of life, load and latency."""
        latency_ms = now_ms - sent_at_ms
        self.latency.add(latency_ms, now_ms)
        self.ejection.record_reply()
        self.success_rate.record_success(now_ms)
        is_queueing = report.queued > self.usable_slots
        if is_queueing:
            self.queued_at_ms = now_ms
        self.limit.record_reply(latency_ms, is_queueing, now_ms)
        self.record_report(report, sent_at_ms, now_ms)

    def record_report(self, report: LoadReport, asked_at_ms: float, now_ms: float) -> None:
        """Take what the endpoint says of itself in answer to what was sent at `asked_at_ms`."""
        if not self.is_health_fresh(now_ms):
            self.available_since_ms = now_ms
        if self.reported_at_ms is None or asked_at_ms >= self.reported_at_ms:
            self.report = report
            self.reported_at_ms = asked_at_ms
            self.load_of_others = max(0, report.in_flight + report.queued - self.active_exchanges)
        if self.ejection.record_success(now_ms):
            self.available_since_ms = now_ms
            self.on_change(self, "recovered", "steady replies")
        self.note_leaving(now_ms)

    def record_failure(self, failure: Failure, sent_at_ms: float | None, now_ms: float) -> None:
        """Take a failed attempt: what the endpoint said, and how long it took at least."""
        if failure.code in UNRELIABLE_CODES and sent_at_ms is not None:
            self.success_rate.record_failure(now_ms)
        if sent_at_ms is not None and failure.code in (Code.TIMED_OUT, Code.CANCELLED):
            self.latency.add_lower_bound(now_ms - sent_at_ms, now_ms)
        if failure.code is Code.SHED:
            self.shed_at_ms = now_ms
            self.limit.decrease_from(self.active_exchanges, now_ms)
        if failure.code is Code.ENDPOINT_LEAVING and sent_at_ms is not None:
            self.seen_leaving_at_ms = now_ms
        if failure.load is not None and sent_at_ms is not None:
            self.record_report(failure.load, sent_at_ms, now_ms)

    def record_missing_version(self, index_version: int, now_ms: float) -> None:
        """Take the answer that it does not hold a version, which goes before its reports."""
        self.missing_until_ms_by_version[index_version] = now_ms + DENIAL_KEPT_MS
        for known in [
            v for v, until in self.missing_until_ms_by_version.items() if until <= now_ms
        ]:
            del self.missing_until_ms_by_version[known]

    def record_connection_failure(self, failure: Failure, now_ms: float) -> None:
        """Count a failure of connection or time towards ejection; no other failure counts."""
        if failure.code in BLAMED_CODES and self.ejection.record_failure(now_ms):
            self._eject(f"{self.ejection.consecutive_failures} failures in a row", failure, now_ms)

    def record_lost_exchange(self, failure: Failure, now_ms: float) -> None:
        """Count an exchange that was lost although new connections may work."""
        if self.ejection.record_lost_exchange():
            self._eject(
                f"{self.ejection.consecutive_lost_exchanges} exchanges lost", failure, now_ms
            )

    def _eject(self, why: str, failure: Failure, now_ms: float) -> None:
        if not self.may_eject(self):
            return
        self.ejection.begin(now_ms)
        self.on_change(self, "ejected", f"{why}, last {failure.code.name}")

    def set_listed_as_leaving(self, listed: bool, now_ms: float) -> None:
        """Take what the instance list says."""
        self.listed_as_leaving = listed
        self.note_leaving(now_ms)

    def apply_leaving_hint(self, now_ms: float) -> None:
        """Take the word of a peer, which holds for as long as a refusal does."""
        self.seen_leaving_at_ms = now_ms
        if not self.announced_leaving:
            self.announced_leaving = True
            self.on_change(self, "leaving", "a peer")

    def expire_health(self) -> None:
        """Make all evidence stale, as after a pause of this process."""
        self.reported_at_ms = None

    def note_leaving(self, now_ms: float) -> None:
        """Tell of a change between leaving and not leaving."""
        leaving = self.is_leaving(now_ms)
        if leaving == self.announced_leaving:
            return
        self.announced_leaving = leaving
        cause = "instance list" if self.listed_as_leaving else "its own word"
        self.on_change(self, "leaving" if leaving else "no longer leaving", cause)

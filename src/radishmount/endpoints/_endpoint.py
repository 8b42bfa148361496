"""The root of the aggregate: one endpoint and its health as this instance sees it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from radishmount.codes import Code
from radishmount.endpoints._capacity import EndpointCapacity, KindLatencies
from radishmount.endpoints._cold_rate import ColdRate
from radishmount.endpoints._ejection import Ejection
from radishmount.endpoints._exchange import Failure, LoadReport
from radishmount.endpoints._latency import LatencyEstimate
from radishmount.endpoints._limit import InFlightLimit
from radishmount.endpoints._steady_latency import SteadyLatency
from radishmount.endpoints._success_rate import SuccessRate
from radishmount.publication import EndpointSpec


__all__ = ["HEALTH_MAX_AGE_MS", "Endpoint"]

HEALTH_MAX_AGE_MS = 2_000.0
MISSING_VERSION_KEPT_MS = 2_000.0
LEAVING_KEPT_MS = 2_000.0
MAX_PAUSE_MS = 300_000.0  # a wrong value takes an endpoint away from this instance for no longer
NEVER_MS = float("-inf")
CONNECTION_FAILURE_CODES = frozenset({Code.TIMED_OUT, Code.CONNECTION_LOST, Code.NOT_CONNECTED})
UNSUCCESSFUL_CODES = frozenset(
    {
        Code.SHED,
        Code.CONNECTION_LOST,
        Code.BAD_REPLY,
        Code.ENDPOINT_ERROR,
        Code.OTHER_ENDPOINT,
        Code.INTERNAL,
    }
)

OnChange = Callable[["Endpoint", str, str], None]


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint and its health as this instance sees it. Times are in milliseconds.

    A load report is dated by the time at which its request was sent. So a reply that lay unread
    during a pause of this process does not pass for a recent one.

    `may_eject` tells whether the other replicas of the service allow an ejection. `on_change` is
    called with the endpoint, the change and its cause on each ejection, recovery and change of
    leaving. `is_tracked_by_discovery` is set where discovery follows the endpoint's heartbeats, and
    its health then never expires here; each start of it is an endpoint of its own, so once it has
    said that it is leaving, `has_departed` holds for good. `may_connect` tells whether this
    instance may open connections to it, and `is_evacuated` whether the operator wants nothing sent
    to its data centre. `cold_rate` bounds what it gets while it is cold, where its service asks for
    that. `in_flight` counts the requests handed over, those in the queue included;
    `active_exchanges` counts those taken by a connection. `left_since_ms` tells since when most
    requests go to other data centres although this endpoint is in the own one. `kind_latencies` is
    shared by the replicas of a service.
    """

    spec: EndpointSpec
    slots: int
    may_eject: Callable[["Endpoint"], bool] = lambda endpoint: True
    on_change: OnChange = lambda endpoint, change, cause: None
    is_tracked_by_discovery: bool = False
    may_connect: bool = True
    is_evacuated: bool = False
    cold_rate: ColdRate | None = None
    is_cold_announced: bool = False
    in_flight: int = 0
    active_exchanges: int = 0
    latency: LatencyEstimate = field(default_factory=LatencyEstimate)
    steady_latency: SteadyLatency = field(default_factory=SteadyLatency)
    success_rate: SuccessRate = field(default_factory=SuccessRate)
    limit: InFlightLimit = field(default_factory=InFlightLimit)
    capacity: EndpointCapacity = field(default_factory=EndpointCapacity)
    kind_latencies: KindLatencies = field(default_factory=KindLatencies)
    ejection: Ejection = field(default_factory=Ejection)
    report: LoadReport = field(default_factory=LoadReport)
    reported_at_ms: float | None = None
    load_of_others: int = 0
    available_since_ms: float = NEVER_MS
    shed_at_ms: float = NEVER_MS
    queued_at_ms: float = NEVER_MS
    left_since_ms: float | None = None
    listed_as_leaving: bool = False
    seen_leaving_at_ms: float = NEVER_MS
    announced_leaving: bool = False
    has_departed: bool = False
    paused_until_ms: float = NEVER_MS
    is_pause_announced: bool = False
    missing_until_ms_by_version: dict[int, float] = field(default_factory=dict)
    sent_at_ms_by_exchange: dict[int, float] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Return the published name of the endpoint."""
        return self.spec.name

    @property
    def versions(self) -> frozenset[int]:
        """Return the index versions in its last report."""
        return self.report.versions

    @property
    def usable_slots(self) -> int:
        """Return the slots in its last report, at most those published."""
        if self.report.slots <= 0:
            return self.slots
        return min(self.report.slots, self.slots)

    def comfortable_requests(self, now_ms: float) -> float:
        """Return how many requests, of all instances together, it takes without slowing down.

        That is between 1 and its usable slots, and its slots until replies show otherwise.
        """
        return self.capacity.comfortable_requests(self.usable_slots, now_ms)

    def holds(self, index_version: int, now_ms: float) -> bool:
        """Return whether it reports a version, and did not refuse that version just before."""
        if index_version not in self.report.versions:
            return False
        missing_until_ms = self.missing_until_ms_by_version.get(index_version)
        return missing_until_ms is None or now_ms >= missing_until_ms

    def is_leaving(self, now_ms: float) -> bool:
        """Return whether the instance list, its report, a refusal or a peer says it is leaving."""
        if self.listed_as_leaving or self.report.draining or self.has_departed:
            return True
        return now_ms - self.seen_leaving_at_ms < LEAVING_KEPT_MS

    def is_health_fresh(self, now_ms: float) -> bool:
        """Return whether its last report is recent enough to send it new requests."""
        if self.is_tracked_by_discovery:
            return True
        return self.reported_at_ms is not None and (
            now_ms - self.reported_at_ms <= HEALTH_MAX_AGE_MS
        )

    def health_age_ms(self, now_ms: float) -> float:
        """Return the age of its last report, infinite where there is none."""
        return float("inf") if self.reported_at_ms is None else now_ms - self.reported_at_ms

    def is_available(self, now_ms: float) -> bool:
        """Return whether this instance may send to it now.

        That is if it may connect, the data centre is not evacuated, the health is fresh, and the
        endpoint neither leaves nor pauses, nor is cold and gets as much as it may get from here.
        """
        if not self.may_connect or self.is_evacuated or self.is_paused(now_ms):
            return False
        if self.is_held_back(now_ms):
            return False
        return self.is_health_fresh(now_ms) and not self.is_leaving(now_ms)

    def is_held_back(self, now_ms: float) -> bool:
        """Return whether it is cold and may get no more from this instance at present."""
        return self.cold_rate is not None and self.cold_rate.is_full(self.in_flight, now_ms)

    def has_cold_slot(self, now_ms: float) -> bool:
        """Return whether a request that waited may be sent: it is not cold, or a slot is free."""
        rate = self.cold_rate
        return rate is None or not rate.is_full(len(self.sent_at_ms_by_exchange), now_ms)

    def cold_excess(self, now_ms: float) -> int:
        """Return how many requests handed over are more than it may get while it is cold."""
        return 0 if self.cold_rate is None else self.cold_rate.excess(self.in_flight, now_ms)

    def cold_wait_ms(self, now_ms: float) -> float:
        """Return in which time it may get one more request, if it is held back."""
        return 0.0 if self.cold_rate is None else self.cold_rate.wait_ms(self.in_flight, now_ms)

    def is_paused(self, now_ms: float) -> bool:
        """Return whether a pause that it has asked for is not over yet."""
        return now_ms < self.paused_until_ms

    def is_eligible(self, now_ms: float) -> bool:
        """Return whether it is available and not ejected."""
        return self.ejection.ejected_since_ms is None and self.is_available(now_ms)

    def is_healthy(self, now_ms: float) -> bool:
        """Return whether it is eligible and its last probe or connection did not fail."""
        return self.ejection.consecutive_failures == 0 and self.is_eligible(now_ms)

    def awaits_probe(self, now_ms: float) -> bool:
        """Return whether its health is only out of date, and no probe has failed since.

        An evacuated endpoint gets no probes, so nothing is to be expected of it.
        """
        if self.is_evacuated:
            return False
        return not self.is_health_fresh(now_ms) and self.ejection.consecutive_failures == 0

    def oldest_exchange_age_ms(self, now_ms: float) -> float:
        """Return the age of the oldest exchange in flight, zero where there is none."""
        for sent_at_ms in self.sent_at_ms_by_exchange.values():
            return now_ms - sent_at_ms
        return 0.0

    def estimated_latency_ms(self, fastest_ms: float, now_ms: float) -> float:
        """Return the latency to expect, at least the age of the oldest exchange in flight.

        So the estimate of an endpoint that has just stopped answering rises before any timeout.
        `fastest_ms` is the latency of the fastest replica, towards which an old estimate decays.
        """
        return max(
            self.latency.decayed_towards(fastest_ms, now_ms), self.oldest_exchange_age_ms(now_ms)
        )

    def record_error_reply(self, now_ms: float) -> None:
        """Count a reply that the caller cannot use, such as a server error, as a failure."""
        self.success_rate.record_failure(now_ms)

    def request_submitted(self) -> None:
        """Count a request that was handed to the connection pool."""
        self.in_flight += 1

    def request_ended(self, sent_at_ms: float | None, now_ms: float) -> None:
        """Count the end of a request that was handed to the connection pool."""
        self.in_flight -= 1
        if self.cold_rate is not None and sent_at_ms is not None:
            self.cold_rate.record_end(now_ms)

    def record_reply(
        self,
        report: LoadReport,
        sent_at_ms: float,
        now_ms: float,
        *,
        is_error: bool = False,
        kind: str = "",
    ) -> None:
        """Record the latency, the success and the load report of a reply to work of one kind.

        An endpoint that fails at once must not look like a fast one, so an error reply may raise
        the latency and never sets or lowers it. `record_error_reply` counts the failure.
        """
        latency_ms = now_ms - sent_at_ms
        self.ejection.record_reply()
        if is_error:
            self.latency.add_if_slower(latency_ms, now_ms)
            self.steady_latency.observed_at_ms = now_ms
        else:
            self.latency.add(latency_ms, now_ms)
            self.steady_latency.add(latency_ms, now_ms)
            self._record_capacity(latency_ms, report, kind, now_ms)
            self.success_rate.record_success(now_ms)
        is_queueing = report.queued > self.usable_slots
        if is_queueing:
            self.queued_at_ms = now_ms
        self.limit.record_reply(latency_ms, is_queueing, now_ms)
        self.record_report(report, sent_at_ms, now_ms)

    def _record_capacity(
        self, latency_ms: float, report: LoadReport, kind: str, now_ms: float
    ) -> None:
        """Learn from a reply how much the endpoint takes well."""
        work, slots, capacity = self.kind_latencies, self.usable_slots, self.capacity
        average_work_ms = work.to_average_work(kind, latency_ms)
        capacity.record(average_work_ms, work.average_ms, report, slots, now_ms)
        change = capacity.held_back_change(slots, now_ms)
        if change is None:
            return
        cause = (
            f"takes {capacity.comfortable_requests(slots, now_ms):.0f} of {slots} requests"
            f" well, work takes {capacity.slowness:.1f} times as long as at all replicas"
        )
        self.on_change(self, change, cause)

    def record_report(self, report: LoadReport, sent_at_ms: float, now_ms: float) -> None:
        """Record a load report that answers a request or probe sent at `sent_at_ms`."""
        if not self.is_health_fresh(now_ms):
            self.available_since_ms = now_ms
        if report.draining and self.is_tracked_by_discovery:
            self.has_departed = True
        self._record_pause(report.pause_ms, now_ms)
        if report.cold_ms > 0.0:
            self.record_cold(now_ms + report.cold_ms, "the endpoint itself", now_ms)
        elif self.is_cold_announced:
            self.announce_warm(now_ms)
        if self.reported_at_ms is None or sent_at_ms >= self.reported_at_ms:
            self.report = report
            self.reported_at_ms = sent_at_ms
            self.load_of_others = max(0, report.in_flight + report.queued - self.active_exchanges)
        if self.ejection.record_success(now_ms):
            self.available_since_ms = now_ms
            self.on_change(self, "recovered", "steady replies")
        self._announce_leaving(now_ms)

    def record_cold(self, until_ms: float, cause: str, now_ms: float) -> None:
        """Take it as cold until a time or later, where its service bounds what it then gets."""
        self.announce_warm(now_ms)
        rate = self.cold_rate
        if rate is None or not rate.extend(until_ms) or not rate.is_cold(now_ms):
            return
        if not self.is_cold_announced:
            self.is_cold_announced = True
            share = f"{rate.slots(now_ms)} of {rate.total} a second from here"
            self.on_change(self, "cold", f"{cause}, for {until_ms - now_ms:.0f} ms, {share}")

    def announce_warm(self, now_ms: float) -> None:
        """Call `on_change` if it was cold at the last call and no longer is."""
        rate = self.cold_rate
        if self.is_cold_announced and (rate is None or not rate.is_cold(now_ms)):
            self.is_cold_announced = False
            self.on_change(self, "warm", "the time is over")

    def _record_pause(self, pause_ms: float, now_ms: float) -> None:
        """Begin or extend a pause, after which the load returns as after a start."""
        until_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)
        if pause_ms > 0.0 and until_ms > self.paused_until_ms:
            self.paused_until_ms = until_ms
            self.available_since_ms = until_ms
            if not self.is_pause_announced:
                self.is_pause_announced = True
                self.on_change(self, "paused", f"the endpoint itself, for {pause_ms:.0f} ms")
        if self.is_pause_announced and not self.is_paused(now_ms):
            self.is_pause_announced = False
            self.on_change(self, "resumed", "it replies after its pause")

    def record_failure(self, failure: Failure, sent_at_ms: float | None, now_ms: float) -> None:
        """Record a failed attempt, with the load report where the endpoint answered.

        A timeout or a cancellation gives a lower bound of the latency. `sent_at_ms` is None for an
        attempt that was never sent.
        """
        if failure.code in UNSUCCESSFUL_CODES and sent_at_ms is not None:
            self.success_rate.record_failure(now_ms)
        if sent_at_ms is not None:
            self.steady_latency.observed_at_ms = now_ms
        if sent_at_ms is not None and failure.code in (Code.TIMED_OUT, Code.CANCELLED):
            self.latency.add_lower_bound(now_ms - sent_at_ms, now_ms)
            self.steady_latency.add_lower_bound(now_ms - sent_at_ms, now_ms)
        if failure.code is Code.SHED:
            self.shed_at_ms = now_ms
            self.limit.decrease_from(self.active_exchanges, now_ms)
        if failure.code is Code.ENDPOINT_LEAVING and sent_at_ms is not None:
            self.seen_leaving_at_ms = now_ms
        if failure.load is not None and sent_at_ms is not None:
            self.record_report(failure.load, sent_at_ms, now_ms)

    def record_missing_version(self, index_version: int, now_ms: float) -> None:
        """Record a missing version, which overrides reports for `MISSING_VERSION_KEPT_MS`."""
        self.missing_until_ms_by_version[index_version] = now_ms + MISSING_VERSION_KEPT_MS
        for expired in [
            v for v, until in self.missing_until_ms_by_version.items() if until <= now_ms
        ]:
            del self.missing_until_ms_by_version[expired]

    def record_connection_failure(self, failure: Failure, now_ms: float) -> None:
        """Count a connection failure or timeout towards ejection; other failures do not count."""
        if failure.code in CONNECTION_FAILURE_CODES and self.ejection.record_failure(now_ms):
            self._eject(f"{self.ejection.consecutive_failures} failures in a row", failure, now_ms)

    def record_lost_exchange(self, failure: Failure, now_ms: float) -> None:
        """Count an exchange whose connection was lost or silent towards ejection."""
        if self.ejection.record_lost_exchange():
            self._eject(
                f"{self.ejection.consecutive_lost_exchanges} exchanges lost", failure, now_ms
            )

    def _eject(self, reason: str, failure: Failure, now_ms: float) -> None:
        if not self.may_eject(self):
            return
        self.ejection.begin(now_ms)
        self.on_change(self, "ejected", f"{reason}, last {failure.code.name}")

    def set_listed_as_leaving(self, listed: bool, now_ms: float) -> None:
        """Set whether the instance list names it as leaving."""
        self.listed_as_leaving = listed
        self._announce_leaving(now_ms)

    def apply_leaving_hint(self, now_ms: float) -> None:
        """Treat it as leaving for `LEAVING_KEPT_MS`, as after a refusal, because a peer says so."""
        self.seen_leaving_at_ms = now_ms
        if not self.announced_leaving:
            self.announced_leaving = True
            self.on_change(self, "leaving", "a peer")

    def expire_health(self) -> None:
        """Mark its health as out of date, as after a pause of this process."""
        self.reported_at_ms = None

    def _announce_leaving(self, now_ms: float) -> None:
        """Call `on_change` if it began or ceased to be leaving since the last call."""
        leaving = self.is_leaving(now_ms)
        if leaving == self.announced_leaving:
            return
        self.announced_leaving = leaving
        cause = "instance list" if self.listed_as_leaving else "the endpoint itself"
        self.on_change(self, "leaving" if leaving else "no longer leaving", cause)

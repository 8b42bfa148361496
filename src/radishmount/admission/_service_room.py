"""How long one more request would wait for a slot at the endpoints of one service."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from radishmount.endpoints import Endpoint, decay_weight


__all__ = ["ServiceRoom"]

REPORT_HALF_LIFE_LATENCIES = 2.0  # what an endpoint reports as running is done soon after
MIN_REPORT_HALF_LIFE_MS = 10.0
MAX_REPORTED_ROUNDS = 4  # bounds the reported load of others, in multiples of the slots
SHED_RECENT_MS = 40.0
# Endpoints pause now and then, each for a fraction of a second, and what waits then is soon served.
# Only where requests wait most of the time is there too little room.
QUEUEING_HALF_LIFE_MS = 500.0
CROWDED_ABOVE_RATIO = 0.6
CROWDED_UNTIL_RATIO = 0.3
MAX_SAMPLE_MS = 100.0  # an observed queue is assumed to have existed for no longer
FULL_KEPT_MS = 10_000.0  # after the last time that an endpoint shed
# A reported queue counts up to this multiple of the rise in latency that this instance measured.
EVIDENCE_FACTOR = 3.0
# Latencies of several kinds of work differ by as much without any queue, so a smaller rise shows
# nothing.
MIN_EVIDENCE_RATIO = 2.0
UNLOADED_MAX_LOAD = 0.5  # of the slots, up to which a latency counts as that of an idle endpoint
UNLOADED_FALL_WEIGHT = 0.2
UNLOADED_RISE_WEIGHT = 0.02  # slow, so that the queues of an overload do not pass for the usual


@dataclass(slots=True)
class ServiceRoom:
    """The room at one service, as this instance sees it.

    `unloaded_ms` is how long requests take while few run, and none until that was seen: then no
    wait is assumed, whatever the endpoints report. `wait_ms` is the wait at the endpoint where it
    is shortest, infinite where no endpoint can be used. `full_wait_ms` is the wait at which
    endpoints shed requests, infinite where none has shed lately. `queueing_ratio` is the recent
    part of the time in which requests had to wait; the wait counts only while the service
    `is_crowded`.
    """

    unloaded_ms: float | None = None
    wait_ms: float = 0.0
    full_wait_ms: float = inf
    full_seen_at_ms: float = -inf
    queueing_ratio: float = 0.0
    is_crowded: bool = False
    evaluated_at_ms: float = -inf

    def evaluate(self, endpoints: Iterable[Endpoint], now_ms: float) -> None:
        """Update the wait."""
        elapsed_ms = now_ms - self.evaluated_at_ms
        self.evaluated_at_ms = now_ms
        wait_ms = self._shortest_wait_ms(endpoints, now_ms)
        self._update_crowded(0.0 < wait_ms < inf, elapsed_ms)
        self.wait_ms = wait_ms if self.is_crowded or wait_ms == inf else 0.0

    def _update_crowded(self, is_queueing: bool, elapsed_ms: float) -> None:
        if not is_queueing and not self.queueing_ratio:
            return
        self.queueing_ratio *= decay_weight(elapsed_ms, QUEUEING_HALF_LIFE_MS)
        if is_queueing:
            sample_ms = min(elapsed_ms, MAX_SAMPLE_MS)
            self.queueing_ratio += 1.0 - decay_weight(sample_ms, QUEUEING_HALF_LIFE_MS)
        least_ratio = CROWDED_UNTIL_RATIO if self.is_crowded else CROWDED_ABOVE_RATIO
        self.is_crowded = self.queueing_ratio > least_ratio

    def _shortest_wait_ms(self, endpoints: Iterable[Endpoint], now_ms: float) -> float:
        """Return the wait where it is shortest; an endpoint with a free slot ends the search."""
        if now_ms - self.full_seen_at_ms >= FULL_KEPT_MS:
            self.full_wait_ms = inf
        shortest_ms = inf
        for endpoint in endpoints:
            if not endpoint.is_healthy(now_ms):
                continue
            wait_ms = self._wait_at(endpoint, now_ms)
            if wait_ms <= 0.0:
                return 0.0
            shortest_ms = min(shortest_ms, wait_ms)
        return shortest_ms

    def _wait_at(self, endpoint: Endpoint, now_ms: float) -> float:
        """Return how long one more request would wait there for a slot.

        With more requests than slots, a request takes as long as it takes all those before it to
        pass the slots. So the part of the latency that is spent waiting is the part of the requests
        that have no slot. The latency that this instance measured must have risen as well, or the
        endpoint must have shed a request.
        """
        load = _load(endpoint, now_ms)
        slots = endpoint.usable_slots
        waiting = load + 1.0 - slots if slots > 0 else 0.0
        is_shedding = now_ms - endpoint.shed_at_ms < SHED_RECENT_MS
        if load <= UNLOADED_MAX_LOAD * slots and not is_shedding:
            self._record_unloaded(endpoint.latency.value_ms)
        if self.unloaded_ms is None or (waiting <= 0.0 and not is_shedding):
            return 0.0
        latency_ms = endpoint.estimated_latency_ms(self.unloaded_ms, now_ms)
        wait_ms = latency_ms * max(0.0, waiting) / (load + 1.0)
        if is_shedding:
            return max(wait_ms, self._record_full(endpoint, self.unloaded_ms))
        if latency_ms < MIN_EVIDENCE_RATIO * self.unloaded_ms:
            return 0.0
        return min(wait_ms, EVIDENCE_FACTOR * (latency_ms - self.unloaded_ms))

    def _record_full(self, endpoint: Endpoint, unloaded_ms: float) -> float:
        """Return the wait at an endpoint that has just shed, by the queue that it reports."""
        queued = endpoint.report.queued
        if queued <= 0:
            return unloaded_ms
        full_wait_ms = unloaded_ms * queued / max(1, endpoint.usable_slots)
        self.full_wait_ms = full_wait_ms
        self.full_seen_at_ms = endpoint.shed_at_ms
        return full_wait_ms

    def _record_unloaded(self, latency_ms: float | None) -> None:
        if latency_ms is None:
            return
        if self.unloaded_ms is None:
            self.unloaded_ms = latency_ms
            return
        is_fall = latency_ms < self.unloaded_ms
        weight = UNLOADED_FALL_WEIGHT if is_fall else UNLOADED_RISE_WEIGHT
        self.unloaded_ms += weight * (latency_ms - self.unloaded_ms)


def _load(endpoint: Endpoint, now_ms: float) -> float:
    """Return the requests of this instance at an endpoint, and those of others by its report."""
    load = float(endpoint.in_flight)
    if endpoint.reported_at_ms is None or not endpoint.load_of_others:
        return load
    load_of_others = min(endpoint.load_of_others, MAX_REPORTED_ROUNDS * endpoint.slots)
    age_ms = now_ms - endpoint.reported_at_ms
    half_life_ms = REPORT_HALF_LIFE_LATENCIES * (endpoint.latency.value_ms or 0.0)
    return load + load_of_others * decay_weight(age_ms, max(MIN_REPORT_HALF_LIFE_MS, half_life_ms))

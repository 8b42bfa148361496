"""The latency of an endpoint without its ordinary pauses."""

from dataclasses import dataclass
from math import inf

from radishmount.endpoints._latency import decay_weight


__all__ = ["USUAL_PAUSE_MS", "SteadyLatency"]

USUAL_PAUSE_MS = 200.0  # ordinary pauses are shorter; requests sent within one are late together
MAX_CONFIRM_GAP_MS = 2_000.0  # less than the usual time between two pauses
# A latency above the average times the ratio plus the margin is an outlier: above the differences
# between the kinds of requests that an endpoint gets.
OUTLIER_RATIO = 2.0
OUTLIER_MARGIN_MS = 25.0
SAMPLE_WEIGHT = 0.2  # the same as for latencies, see _latency.py
OUTLIER_WEIGHT = 0.5  # two confirmed outliers account for three quarters of a rise
USUAL_WEIGHT = 0.05
USUAL_MAX_GROWTH = 1.5  # bounds what one slow reply adds to the usual latency
HALF_LIFE_MS = 3_000.0  # the same as for latencies, see _latency.py


@dataclass(slots=True)
class SteadyLatency:
    """A moving average that a single pause does not raise, in milliseconds.

    A latency far above the average is held back until another one confirms it, of a request that
    was sent too late for the same pause and too early for the next. A latency far below the average
    shows that the endpoint has recovered, so the average falls at once. `usual_ms` follows the
    average over many replies. `observed_at_ms` is when any exchange with the endpoint last ended.
    """

    value_ms: float | None = None
    usual_ms: float = inf
    observed_at_ms: float = -inf
    outlier_sent_at_ms: float = -inf

    def add(self, latency_ms: float, now_ms: float) -> None:
        """Add the latency of an exchange that has just ended."""
        self.observed_at_ms = now_ms
        if self.value_ms is None:
            self.value_ms = self.usual_ms = latency_ms
            return
        weight = SAMPLE_WEIGHT
        if latency_ms > _outlier_limit_ms(self.value_ms):
            weight = OUTLIER_WEIGHT
            if not self._is_confirmed(now_ms - latency_ms):
                return
        value_ms = min(self.value_ms, _outlier_limit_ms(latency_ms))
        self.value_ms = value_ms + weight * (latency_ms - value_ms)
        bounded_ms = min(latency_ms, USUAL_MAX_GROWTH * self.usual_ms)
        self.usual_ms += USUAL_WEIGHT * (bounded_ms - self.usual_ms)

    def add_lower_bound(self, elapsed_ms: float, now_ms: float) -> None:
        """Add an exchange aborted after `elapsed_ms`, which counts only if above the average."""
        self.observed_at_ms = now_ms
        if self.value_ms is None or elapsed_ms > self.value_ms:
            self.add(elapsed_ms, now_ms)

    def add_hint(self, latency_ms: float, now_ms: float) -> None:
        """Hold back what a peer observed, until a slow exchange of this instance confirms it."""
        if self.value_ms is not None and latency_ms > _outlier_limit_ms(self.value_ms):
            self._is_confirmed(now_ms - latency_ms)

    def decayed_towards(self, fastest_ms: float, now_ms: float) -> float:
        """Return the average, which decays with its age towards `fastest_ms`."""
        if self.value_ms is None:
            return fastest_ms
        weight = decay_weight(now_ms - self.observed_at_ms, HALF_LIFE_MS)
        return fastest_ms + weight * (self.value_ms - fastest_ms)

    def _is_confirmed(self, sent_at_ms: float) -> bool:
        """Return whether an earlier outlier confirms one that was sent at `sent_at_ms`."""
        gap_ms = sent_at_ms - self.outlier_sent_at_ms
        if gap_ms < USUAL_PAUSE_MS:
            return False
        if gap_ms > MAX_CONFIRM_GAP_MS:
            self.outlier_sent_at_ms = sent_at_ms
            return False
        return True


def _outlier_limit_ms(latency_ms: float) -> float:
    return OUTLIER_RATIO * latency_ms + OUTLIER_MARGIN_MS

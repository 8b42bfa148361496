"""The latency of one endpoint as this instance measured it, with exponential decay."""

from dataclasses import dataclass


__all__ = ["LatencyEstimate", "decay_weight"]

SAMPLE_WEIGHT = 0.2
HALF_LIFE_MS = 3_000.0


def decay_weight(age_ms: float, half_life_ms: float) -> float:
    """Return the weight of a sample that is `age_ms` old: 1 when new, halved each half-life."""
    if age_ms <= 0.0:
        return 1.0
    return 0.5 ** (age_ms / half_life_ms)


@dataclass(slots=True)
class LatencyEstimate:
    """An exponential moving average of latencies, in milliseconds; None before the first one.

    `rise_weight` is the weight of a sample above the average. Where requests are few, it is set
    higher than that of other samples, so that a slow exchange shows at once.
    """

    value_ms: float | None = None
    updated_at_ms: float = 0.0
    rise_weight: float = SAMPLE_WEIGHT

    def add(self, latency_ms: float, now_ms: float) -> None:
        """Add the latency of an exchange that was answered."""
        if self.value_ms is None:
            self.value_ms = latency_ms
        else:
            weight = self.rise_weight if latency_ms > self.value_ms else SAMPLE_WEIGHT
            self.value_ms += weight * (latency_ms - self.value_ms)
        self.updated_at_ms = now_ms

    def add_lower_bound(self, elapsed_ms: float, now_ms: float) -> None:
        """Add an exchange aborted after `elapsed_ms`, which counts only if above the average."""
        if self.value_ms is None or elapsed_ms > self.value_ms:
            self.add(elapsed_ms, now_ms)

    def add_if_slower(self, latency_ms: float, now_ms: float) -> None:
        """Add the latency of an exchange that failed, only if there is an estimate below it."""
        if self.value_ms is not None and latency_ms > self.value_ms:
            self.add(latency_ms, now_ms)

    def decayed_towards(self, fastest_ms: float, now_ms: float) -> float:
        """Return the estimate, which decays with its age towards `fastest_ms`.

        That is the latency of the fastest replica, so a slow endpoint is tried again after a while.
        """
        if self.value_ms is None:
            return fastest_ms
        weight = decay_weight(now_ms - self.updated_at_ms, HALF_LIFE_MS)
        return fastest_ms + weight * (self.value_ms - fastest_ms)

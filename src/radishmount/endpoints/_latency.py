"""The latency that one endpoint has shown to this instance, faded by its age."""

from dataclasses import dataclass


__all__ = ["LatencyEstimate", "decay_weight"]

SAMPLE_WEIGHT = 0.2
HALF_LIFE_MS = 3_000.0


def decay_weight(age_ms: float, half_life_ms: float) -> float:
    """Return the weight of evidence that is `age_ms` old, 1 when new and towards 0 with age."""
    if age_ms <= 0.0:
        return 1.0
    return 0.5 ** (age_ms / half_life_ms)


@dataclass(slots=True)
class LatencyEstimate:
    """A moving average of exchanges, in milliseconds. It is unknown until the first one.

    `rise_weight` is the weight of a latency above the average: where requests are few, one slow
    exchange must tell more than a quick one.
    """

    value_ms: float | None = None
    updated_at_ms: float = 0.0
    rise_weight: float = SAMPLE_WEIGHT

    def add(self, latency_ms: float, now_ms: float) -> None:
        """Take the latency of an exchange that was answered."""
        if self.value_ms is None:
            self.value_ms = latency_ms
        else:
            weight = self.rise_weight if latency_ms > self.value_ms else SAMPLE_WEIGHT
            self.value_ms += weight * (latency_ms - self.value_ms)
        self.updated_at_ms = now_ms

    def add_lower_bound(self, elapsed_ms: float, now_ms: float) -> None:
        """Take an exchange that was broken off after `elapsed_ms`: it would have taken longer."""
        if self.value_ms is None or elapsed_ms > self.value_ms:
            self.add(elapsed_ms, now_ms)

    def decayed_towards(self, least_ms: float, now_ms: float) -> float:
        """Return the estimate, which falls with its age to `least_ms`, the best of the others.

        So an endpoint that was slow is tried again after a while.
        """
        if self.value_ms is None:
            return least_ms
        weight = decay_weight(now_ms - self.updated_at_ms, HALF_LIFE_MS)
        return least_ms + weight * (self.value_ms - least_ms)

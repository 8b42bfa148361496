"""How much an endpoint takes well, learned from its replies and the load reports in them."""

from dataclasses import dataclass, field

from radishmount.endpoints._exchange import LoadReport
from radishmount.endpoints._latency import decay_weight


__all__ = ["EndpointCapacity", "KindLatencies"]

MAX_KINDS = 32  # per service; replies of further kinds are compared as they are
MIN_SAMPLES = 5.0  # below this an average is not used
KIND_WEIGHT = 0.05
MIN_KIND_MS = 1.0  # a first reply that took no time must not bound the next ones to none
USUAL_WEIGHT = 0.1
MAX_SAMPLE_RATIO = 2.0  # of the average; bounds the effect of one pause
MAX_USUAL_RATIO = 3.0  # a slow endpoint gets few requests, and must show after a few replies
LEVELS = 4  # quarters of the slots
MAX_LEVEL_SAMPLES = 20.0
FADE_INTERVAL_MS = 500.0  # a small part of the half-life
HALF_LIFE_MS = 10_000.0  # an unused endpoint is taken for an ordinary one after some of these
KNEE_RATIO = 1.3  # above the noise of averages of `MIN_SAMPLES` and more
BUSY_MACHINE_RATIO = 1.25  # of the usual slowdown figure
SLOWDOWN_WEIGHT = 0.1
HELD_BACK_SLOTS_RATIO = 0.5
HELD_BACK_SLOWNESS = 2.0  # above the usual differences of healthy replicas
RELEASE_SLOWNESS = 1.6
HELD_BACK_AFTER_MS = 1_000.0  # longer than a pause or a busy moment of the machine
RELEASED_AFTER_MS = 5_000.0


@dataclass(slots=True)
class KindLatency:
    """The average latency of one kind of work, and the number of its replies."""

    value_ms: float
    samples: int = 0


@dataclass(slots=True)
class KindLatencies:
    """The usual latency of each kind of work of one service, over all of its replicas.

    One endpoint may serve short and long work. `average_ms` is the mean of the kinds as they come,
    so dividing by the latency of a kind and multiplying by `average_ms` makes replies of different
    kinds comparable. Only the proportion of kinds matters, so a slow replica distorts nothing.
    """

    latencies_by_kind: dict[str, KindLatency] = field(default_factory=dict)
    average_ms: float = 0.0

    def to_average_work(self, kind: str, latency_ms: float) -> float:
        """Add one latency, and return what it would have been for work of average length."""
        usual = self.latencies_by_kind.get(kind)
        if usual is None:
            if len(self.latencies_by_kind) >= MAX_KINDS:
                return latency_ms
            usual = self.latencies_by_kind[kind] = KindLatency(latency_ms)
        usual.samples += 1
        weight = KIND_WEIGHT
        if usual.samples * KIND_WEIGHT < 1.0:
            weight = 1.0 / usual.samples
        bounded_ms = min(latency_ms, MAX_SAMPLE_RATIO * max(usual.value_ms, MIN_KIND_MS))
        usual.value_ms += weight * (bounded_ms - usual.value_ms)
        if self.average_ms < MIN_KIND_MS:
            self.average_ms = usual.value_ms
        self.average_ms += KIND_WEIGHT * (usual.value_ms - self.average_ms)
        if usual.samples < MIN_SAMPLES or len(self.latencies_by_kind) == 1 or not usual.value_ms:
            return latency_ms
        return latency_ms * self.average_ms / usual.value_ms


@dataclass(slots=True)
class EndpointCapacity:
    """The speed of one endpoint, and the number of requests up to which it does not slow down.

    Latencies of comparable work are averaged for each quarter of the slots that was in use, as the
    report in the reply says. The knee is the last quarter before the average rises. All of it fades
    with age, towards the speed of the other replicas and a knee at the slots.

        capacity.record(12.0, average_ms=10.0, report=reply.load, slots=4, now_ms=clock.now_ms())
        capacity.knee_ratio
    """

    usual_ms: float = 0.0
    usual_samples: float = 0.0
    ms_by_level: list[float] = field(default_factory=lambda: [0.0] * LEVELS)
    samples_by_level: list[float] = field(default_factory=lambda: [0.0] * LEVELS)
    knee_ratio: float = 1.0
    slowness: float = 1.0
    usual_slowdown: float | None = None
    faded_at_ms: float = 0.0
    held_back_since_ms: float | None = None
    contrary_since_ms: float | None = None

    def record(
        self, latency_ms: float, average_ms: float, report: LoadReport, slots: int, now_ms: float
    ) -> None:
        """Add a latency of average work; `average_ms` is that of all replicas of the service."""
        if now_ms - self.faded_at_ms >= FADE_INTERVAL_MS:
            self._fade(now_ms)
        is_machine_busy = report.slowdown is not None and self._is_machine_busy(report.slowdown)
        self._add_usual(latency_ms, average_ms)
        requests = report.in_flight + report.queued + 1
        if report.slots > 0 and not is_machine_busy and requests <= slots:
            self._add_to_level(_level(requests, slots), latency_ms)

    def comfortable_requests(self, slots: int, now_ms: float) -> float:
        """Return how many requests it takes without slowing down, between 1 and `slots`."""
        if self.knee_ratio == 1.0:
            return float(max(1, slots))
        age_ms = now_ms - self.faded_at_ms - FADE_INTERVAL_MS
        weight = decay_weight(age_ms, HALF_LIFE_MS)
        ratio = 1.0 - weight * (1.0 - self.knee_ratio)
        return max(1.0, ratio * slots)

    def held_back_change(self, slots: int, now_ms: float) -> str | None:
        """Return the change where it is found to take less than others, or no longer; else None."""
        if self._is_ordinary():
            return None
        is_held_back = self.held_back_since_ms is not None
        slowness_limit = RELEASE_SLOWNESS if is_held_back else HELD_BACK_SLOWNESS
        takes_less = slots > 1 and self.knee_ratio <= HELD_BACK_SLOTS_RATIO
        if (takes_less or self.slowness >= slowness_limit) is is_held_back:
            self.contrary_since_ms = None
            return None
        if self.contrary_since_ms is None:
            self.contrary_since_ms = now_ms
        due_after_ms = RELEASED_AFTER_MS if is_held_back else HELD_BACK_AFTER_MS
        if now_ms - self.contrary_since_ms < due_after_ms:
            return None
        self.held_back_since_ms = None if is_held_back else now_ms
        self.contrary_since_ms = None
        return "no longer held back" if is_held_back else "held back"

    def _is_ordinary(self) -> bool:
        """Return whether it takes as much as others, and did so at the last reply."""
        return (
            self.slowness < HELD_BACK_SLOWNESS
            and self.knee_ratio == 1.0
            and self.held_back_since_ms is None
            and self.contrary_since_ms is None
        )

    def _fade(self, now_ms: float) -> None:
        """Count older samples less, so that new ones move the averages faster after a break."""
        weight = decay_weight(now_ms - self.faded_at_ms, HALF_LIFE_MS)
        self.faded_at_ms = now_ms
        self.usual_samples *= weight
        for level in range(LEVELS):
            self.samples_by_level[level] *= weight

    def _is_machine_busy(self, slowdown: float) -> bool:
        """Return whether the machine says that work takes longer now than it usually says.

        Compared with its own average, a figure that is constant or always too high has no effect.
        """
        usual = slowdown if self.usual_slowdown is None else self.usual_slowdown
        self.usual_slowdown = usual + SLOWDOWN_WEIGHT * (slowdown - usual)
        return slowdown > BUSY_MACHINE_RATIO * usual

    def _add_usual(self, latency_ms: float, average_ms: float) -> None:
        samples = self.usual_samples = self.usual_samples + 1.0
        usual_ms = self.usual_ms or latency_ms
        if latency_ms > MAX_USUAL_RATIO * usual_ms:
            latency_ms = MAX_USUAL_RATIO * usual_ms
        usual_ms += max(USUAL_WEIGHT, 1.0 / samples) * (latency_ms - usual_ms)
        self.usual_ms = usual_ms
        if average_ms > 0.0:
            trust = samples / (samples + MIN_SAMPLES)
            self.slowness = 1.0 + trust * (usual_ms / average_ms - 1.0)

    def _add_to_level(self, level: int, latency_ms: float) -> None:
        samples = self.samples_by_level[level]
        if samples < MAX_LEVEL_SAMPLES:
            samples += 1.0
            self.samples_by_level[level] = samples
        value_ms = self.ms_by_level[level] or latency_ms
        if latency_ms > MAX_SAMPLE_RATIO * value_ms:
            latency_ms = MAX_SAMPLE_RATIO * value_ms
        self.ms_by_level[level] = value_ms + (latency_ms - value_ms) / max(1.0, samples)
        if self.knee_ratio < 1.0 or latency_ms > KNEE_RATIO * self.ms_by_level[0]:
            self.knee_ratio = self._find_knee_ratio()

    def _find_knee_ratio(self) -> float:
        if self.samples_by_level[0] < MIN_SAMPLES:
            return 1.0
        limit_ms = KNEE_RATIO * self.ms_by_level[0]
        for level in range(1, LEVELS):
            if self.samples_by_level[level] < MIN_SAMPLES:
                continue
            if self.ms_by_level[level] > limit_ms:
                return level / LEVELS
        return 1.0


def _level(requests: float, slots: int) -> int:
    """Return the quarter of the slots that `requests` reach, from 0."""
    return max(0, min(LEVELS - 1, -int(-LEVELS * requests // max(1, slots)) - 1))

"""Metrics in the text format of Prometheus: counters, gauges and the latency of requests."""

import re
import time
from typing import Protocol

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from radishmount.counters import Counters


__all__ = ["MeteredService", "RequestMetrics", "render_metrics"]

PREFIX = "radishmount"
LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 150, 190, 250, 500, 1_000, 2_000, 5_000, 10_000)
MAX_PATHS = 100  # with some verdicts each, about a thousand series
OTHER_PATHS = "other"
NOT_IN_NAMES = re.compile(r"[^a-z0-9_]")


class MeteredService(Protocol):
    """What metrics read of an instance; `Node` is one."""

    counters: Counters

    def gauges(self) -> dict[str, float]:
        """Return the present values of what goes up and down, by name."""


class RequestMetrics:
    """Latency and number of the requests that one border serves."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.registry = Registry()
        self._paths: set[str] = set()
        self._latencies = Histogram(
            f"{PREFIX}_request_ms",
            "Time from the head of a request to the end of its answer, in milliseconds.",
            registry=self.registry,
            buckets=LATENCY_BOUNDS_MS,
        )

    def observe(self, path: str, code_name: str, took_ms: float) -> None:
        """Count a request that another border has answered, under its route.

        Routes beyond the first ones share a name, so that the series stay bounded.
        """
        if path not in self._paths:
            if len(self._paths) >= MAX_PATHS:
                path = OTHER_PATHS
            self._paths.add(path)
        self._latencies.observe({"path": path, "code": code_name}, took_ms)

    def started(self) -> None:
        """Count a request whose head has arrived."""
        self.in_flight += 1

    def ended(self, path: str, code_name: str, took_ms: float) -> None:
        """Count a request whose answer was sent, or whose caller went away."""
        self.in_flight -= 1
        self._latencies.observe({"path": path, "code": code_name}, took_ms)


def render_metrics(service: MeteredService, requests: RequestMetrics) -> tuple[bytes, str]:
    """Return all metrics as a body, and the content type of it."""
    registry = Registry()
    collectors: dict[str, Counter] = {}
    for (name, label), value in sorted(service.counters.by_name.items()):
        metric = f"{PREFIX}_{NOT_IN_NAMES.sub('_', name.lower())}_total"
        if metric not in collectors:
            collectors[metric] = Counter(metric, f"Events: {name}.", registry=registry)
        collectors[metric].set({"label": label} if label else {}, value)
    gauges = {
        **service.gauges(),
        "requests_in_flight": float(requests.in_flight),
        "process_cpu_seconds": time.process_time(),
    }
    for name, value in sorted(gauges.items()):
        Gauge(f"{PREFIX}_{name}", f"Present value: {name}.", registry=registry).set({}, value)
    body, headers = render(registry, [])
    latencies, _ = render(requests.registry, [])
    return body + latencies, headers["Content-Type"]

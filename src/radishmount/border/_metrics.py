"""Metrics in the Prometheus text format: counters, gauges and request latencies."""

import re
import time
from typing import Protocol

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from radishmount.counters import Counters


__all__ = ["MeteredService", "RequestMetrics", "render_metrics"]

PREFIX = "radishmount"
LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 150, 190, 250, 500, 1_000, 2_000, 5_000, 10_000)
MAX_PATHS = 100  # with some result codes for each, about a thousand series
OTHER_PATH = "other"
INVALID_NAME_CHARS = re.compile(r"[^a-z0-9_]")


class MeteredService(Protocol):
    """What the metrics need from an instance; implemented by `Node` and `Gateway`."""

    counters: Counters

    def gauges(self) -> dict[str, float]:
        """Return the current values of all gauges, by name."""


class RequestMetrics:
    """Latencies, and number in flight, of the requests to one HTTP server."""

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
        """Record the latency of a request that another server handled; `path` names its route.

        After the first `MAX_PATHS` routes, all others share the path `other`, which bounds the
        number of series.
        """
        if path not in self._paths:
            if len(self._paths) >= MAX_PATHS:
                path = OTHER_PATH
            self._paths.add(path)
        self._latencies.observe({"path": path, "code": code_name}, took_ms)

    def request_started(self) -> None:
        """Count a request in flight, from the arrival of its head."""
        self.in_flight += 1

    def request_ended(self, path: str, code_name: str, took_ms: float) -> None:
        """Record the end of a request: its response was sent, or its client disconnected."""
        self.in_flight -= 1
        self._latencies.observe({"path": path, "code": code_name}, took_ms)


def render_metrics(service: MeteredService, requests: RequestMetrics) -> tuple[bytes, str]:
    """Return all metrics as a response body with its content type."""
    registry = Registry()
    collectors: dict[str, Counter] = {}
    for (name, label), value in sorted(service.counters.by_name.items()):
        metric = f"{PREFIX}_{INVALID_NAME_CHARS.sub('_', name.lower())}_total"
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

"""Computes the figures of one run from the records of calls and endpoints."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from radishmount.trial._plan import TrialPlan, WindowPlan
from radishmount.trial._records import CallOutcome, CallRecord, EndpointRecord
from radishmount.trial._violations import Violations


__all__ = ["ControlCost", "Figures", "extra_load_ratio", "figures_of", "latency_histogram"]

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
VIOLATION_NAMES = (
    "mixed_snapshots",
    "false_coverage",
    "crossed_answers",
    "ran_after_not_run",
    "ran_twice",
    "work_after_leaving",
    "cut_in_flight",
    "lost_to_stop",
)


@dataclass(frozen=True, slots=True)
class ControlCost:
    """What the control plane of the entries costs. A value that was not measured is None.

    CPU time and bytes are per entry, and bytes count both directions. Reads of the platform and
    probes of endpoints are totals of the whole fleet. `config_lag_ms` is the longest time for
    which an entry was behind the published version, and `config_went_back` counts how often one
    returned to an older version.
    """

    cpu_us_per_subrequest: float | None = None
    control_cpu_ratio: float | None = None
    control_bytes_per_s: float | None = None
    platform_reads_per_s: float | None = None
    probes_per_s: float | None = None
    config_lag_ms: float | None = None
    config_went_back: int | None = None


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one run by name, and examples of violations and lost calls."""

    by_name: Mapping[str, Any]
    refusals_by_code: Mapping[str, int]
    histogram: HdrHistogram = field(repr=False)
    examples: Sequence[str] = ()

    def figure(self, path: str) -> float | None:
        """Return the figure at `path`, such as `p99_ms` or `loads.desk.unloaded.p99_ms`.

        Returns None when there is no such figure or it is not a number.
        """
        value: Any = self.by_name
        for step in path.split("."):
            if not isinstance(value, Mapping) or step not in value:
                return None
            value = value[step]
        return float(value) if isinstance(value, int | float) else None


def figures_of(
    plan: TrialPlan,
    calls: Sequence[CallRecord],
    records: Sequence[EndpointRecord],
    violations: Violations,
    cost: ControlCost,
    connections_over_cap: int,
) -> Figures:
    """Return the figures of one run."""
    histogram = latency_histogram(calls)
    by_name: dict[str, Any] = _call_figures(calls, histogram)
    by_name["extra_load_ratio"] = extra_load_ratio(records)
    by_name["sub_requests"] = len(records)
    for name in VIOLATION_NAMES:
        by_name[name] = violations.count_by_name[name]
    by_name["connections_over_cap"] = connections_over_cap
    by_name["cpu_us_per_subrequest"] = cost.cpu_us_per_subrequest
    by_name["control_cpu_ratio"] = cost.control_cpu_ratio
    by_name["control_bytes_per_s"] = cost.control_bytes_per_s
    by_name["platform_reads_per_s"] = cost.platform_reads_per_s
    by_name["probes_per_s"] = cost.probes_per_s
    by_name["config_lag_ms"] = cost.config_lag_ms
    by_name["config_went_back"] = cost.config_went_back
    by_name["goodput_ratio"] = _goodput_ratio(plan, calls, WindowPlan("", 0.0, plan.duration_ms))
    by_name["loads"] = _figures_by_load(plan, calls)
    by_name["windows"] = _figures_by_window(plan, calls)
    refusals = Counter(
        call.code or "lost" for call in calls if call.outcome is not CallOutcome.ANSWER
    )
    return Figures(by_name, dict(refusals), histogram, tuple(violations.examples))


def latency_histogram(calls: Iterable[CallRecord]) -> HdrHistogram:
    """Return the latencies of all answers, in microseconds."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for call in calls:
        if call.outcome is CallOutcome.ANSWER:
            histogram.record_value(max(LOWEST_US, int(call.latency_ms * 1000.0)))
    return histogram


def extra_load_ratio(records: Iterable[EndpointRecord]) -> float:
    """Return the ratio of extra sub-requests to first ones.

    A sub-request is extra when the same request already sent one to the same shard, for example a
    hedge or a retry.
    """
    count_by_shard = Counter((record.request_id, record.shard) for record in records)
    first = len(count_by_shard)
    return (count_by_shard.total() - first) / first if first else 0.0


def _call_figures(calls: Sequence[CallRecord], histogram: HdrHistogram) -> dict[str, Any]:
    answered = [call for call in calls if call.outcome is CallOutcome.ANSWER]
    complete = sum(call.complete for call in answered)
    on_time = sum(_is_complete_on_time(call) for call in answered)
    return {
        "queries": len(calls),
        "answered": len(answered),
        "complete": complete,
        "incomplete": len(calls) - complete,
        "complete_on_time": on_time,
        "refused": sum(call.outcome is CallOutcome.REFUSED for call in calls),
        "lost": sum(call.outcome is CallOutcome.LOST for call in calls),
        "p50_ms": _percentile_ms(histogram, 50.0),
        "p99_ms": _percentile_ms(histogram, 99.0),
        "p999_ms": _percentile_ms(histogram, 99.9),
        "coverage_mean": sum(call.coverage for call in calls) / len(calls) if calls else 1.0,
    }


def _figures_by_load(plan: TrialPlan, calls: Sequence[CallRecord]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name in dict.fromkeys(load.caller for load in plan.loads):
        load_calls = [call for call in calls if call.caller == name]
        figures = _call_figures(load_calls, latency_histogram(load_calls))
        for window in plan.windows:
            windowed = _calls_in_window(load_calls, window)
            figures[window.name] = _call_figures(windowed, latency_histogram(windowed))
        result[name] = figures
    return result


def _figures_by_window(plan: TrialPlan, calls: Sequence[CallRecord]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for window in plan.windows:
        windowed = _calls_in_window(calls, window)
        figures = _call_figures(windowed, latency_histogram(windowed))
        figures["goodput_ratio"] = _goodput_ratio(plan, windowed, window)
        result[window.name] = figures
    return result


def _calls_in_window(calls: Iterable[CallRecord], window: WindowPlan) -> list[CallRecord]:
    return [call for call in calls if window.from_ms <= call.at_ms < window.until_ms]


def _goodput_ratio(plan: TrialPlan, calls: Sequence[CallRecord], window: WindowPlan) -> float:
    """Return the complete answers within the deadline, over the most that were possible.

    The most possible is the number of calls or, if lower, the capacity of the endpoints.
    """
    on_time = sum(_is_complete_on_time(call) for call in calls)
    possible = min(len(calls), _capacity_per_s(plan) * (window.until_ms - window.from_ms) / 1000.0)
    return on_time / possible if possible else 1.0


def _capacity_per_s(plan: TrialPlan) -> float:
    """Return the queries per second that the service with the least capacity can handle."""
    rates = []
    for service in plan.region.services:
        mean_ms = service.service_ms + service.slow_ratio * service.slow_ms
        rates.append(service.endpoints * service.slots * 1000.0 / mean_ms)
    return min(rates)


def _is_complete_on_time(call: CallRecord) -> bool:
    return (
        call.outcome is CallOutcome.ANSWER and call.complete and call.latency_ms <= call.deadline_ms
    )


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float | None:
    if histogram.get_total_count() == 0:
        return None
    return float(histogram.get_value_at_percentile(percentile)) / 1000.0

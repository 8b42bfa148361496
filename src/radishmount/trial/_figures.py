"""The figures of one run."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from radishmount.trial._plan import TrialPlan, WindowPlan
from radishmount.trial._records import CallRecord, EndpointRecord, Told
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
    """What the entries cost beside their work. A figure that could not be measured is none.

    Processor time and bytes are for each entry, the bytes of both directions; reads of the
    platform and probes of endpoints are for the whole fleet.
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
    """The figures of one run, by name."""

    by_name: Mapping[str, Any]
    refusals_by_code: Mapping[str, int]
    histogram: HdrHistogram = field(repr=False)
    examples: Sequence[str] = ()

    def figure(self, path: str) -> float | None:
        """Return the figure at `path`, such as `p99_ms` or `loads.desk.unloaded.p99_ms`."""
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
    over_cap: int,
) -> Figures:
    """Return the figures of one run."""
    histogram = latency_histogram(calls)
    by_name: dict[str, Any] = _told_figures(calls, histogram)
    by_name["extra_load_ratio"] = extra_load_ratio(records)
    by_name["sub_requests"] = len(records)
    for name in VIOLATION_NAMES:
        by_name[name] = violations.count_by_name[name]
    by_name["connections_over_cap"] = over_cap
    by_name["cpu_us_per_subrequest"] = cost.cpu_us_per_subrequest
    by_name["control_cpu_ratio"] = cost.control_cpu_ratio
    by_name["control_bytes_per_s"] = cost.control_bytes_per_s
    by_name["platform_reads_per_s"] = cost.platform_reads_per_s
    by_name["probes_per_s"] = cost.probes_per_s
    by_name["config_lag_ms"] = cost.config_lag_ms
    by_name["config_went_back"] = cost.config_went_back
    by_name["goodput_ratio"] = _goodput_ratio(plan, calls, WindowPlan("", 0.0, plan.duration_ms))
    by_name["loads"] = _by_load(plan, calls)
    by_name["windows"] = _by_window(plan, calls)
    refusals = Counter(call.code or "lost" for call in calls if call.told is not Told.ANSWER)
    return Figures(by_name, dict(refusals), histogram, tuple(violations.examples))


def latency_histogram(calls: Iterable[CallRecord]) -> HdrHistogram:
    """Return the latencies of all answers, in microseconds."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for call in calls:
        if call.told is Told.ANSWER:
            histogram.record_value(max(LOWEST_US, int(call.latency_ms * 1000.0)))
    return histogram


def extra_load_ratio(records: Iterable[EndpointRecord]) -> float:
    """Return the sub-requests beyond the first one for each shard of a request, over the first."""
    count_by_shard = Counter((record.request_id, record.shard) for record in records)
    first = len(count_by_shard)
    return (count_by_shard.total() - first) / first if first else 0.0


def _told_figures(calls: Sequence[CallRecord], histogram: HdrHistogram) -> dict[str, Any]:
    answered = [call for call in calls if call.told is Told.ANSWER]
    complete = sum(call.complete for call in answered)
    on_time = sum(_is_good(call) for call in answered)
    return {
        "queries": len(calls),
        "answered": len(answered),
        "complete": complete,
        "incomplete": len(calls) - complete,
        "complete_on_time": on_time,
        "refused": sum(call.told is Told.REFUSED for call in calls),
        "lost": sum(call.told is Told.LOST for call in calls),
        "p50_ms": _percentile_ms(histogram, 50.0),
        "p99_ms": _percentile_ms(histogram, 99.0),
        "p999_ms": _percentile_ms(histogram, 99.9),
        "coverage_mean": sum(call.coverage for call in calls) / len(calls) if calls else 1.0,
    }


def _by_load(plan: TrialPlan, calls: Sequence[CallRecord]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name in dict.fromkeys(load.caller for load in plan.loads):
        own = [call for call in calls if call.load == name]
        figures = _told_figures(own, latency_histogram(own))
        for window in plan.windows:
            within = _within(own, window)
            figures[window.name] = _told_figures(within, latency_histogram(within))
        result[name] = figures
    return result


def _by_window(plan: TrialPlan, calls: Sequence[CallRecord]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for window in plan.windows:
        within = _within(calls, window)
        figures = _told_figures(within, latency_histogram(within))
        figures["goodput_ratio"] = _goodput_ratio(plan, within, window)
        result[window.name] = figures
    return result


def _within(calls: Iterable[CallRecord], window: WindowPlan) -> list[CallRecord]:
    return [call for call in calls if window.from_ms <= call.at_ms < window.until_ms]


def _goodput_ratio(plan: TrialPlan, calls: Sequence[CallRecord], window: WindowPlan) -> float:
    """Return the complete answers in time, over what was asked or the endpoints can do."""
    good = sum(_is_good(call) for call in calls)
    possible = min(len(calls), _capacity_per_s(plan) * (window.until_ms - window.from_ms) / 1000.0)
    return good / possible if possible else 1.0


def _capacity_per_s(plan: TrialPlan) -> float:
    """Return the queries a second that the service with the least room can do."""
    rates = []
    for service in plan.region.services:
        mean_ms = service.service_ms + service.slow_ratio * service.slow_ms
        rates.append(service.endpoints * service.slots * 1000.0 / mean_ms)
    return min(rates)


def _is_good(call: CallRecord) -> bool:
    return call.told is Told.ANSWER and call.complete and call.latency_ms <= call.deadline_ms


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float | None:
    if histogram.get_total_count() == 0:
        return None
    return float(histogram.get_value_at_percentile(percentile)) / 1000.0

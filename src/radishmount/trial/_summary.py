"""Renders the result of a trial as JSON values and as text."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from radishmount.trial._bounds import BoundOutcome
from radishmount.trial._figures import Figures
from radishmount.trial._plan import TrialPlan


__all__ = ["TEXT_ROWS", "Summary", "format_figure", "result_of", "result_text"]

TEXT_ROWS = (
    ("queries", "queries"),
    ("answered", "answered"),
    ("complete", "complete answers"),
    ("complete_on_time", "complete and on time"),
    ("p50_ms", "latency p50, ms"),
    ("p99_ms", "latency p99, ms"),
    ("p999_ms", "latency p99.9, ms"),
    ("coverage_mean", "mean coverage"),
    ("extra_load_ratio", "extra load"),
    ("mixed_snapshots", "mixed snapshots"),
    ("false_coverage", "false coverage"),
    ("crossed_answers", "crossed answers"),
    ("ran_after_not_run", "ran after not-run"),
    ("ran_twice", "ran twice"),
    ("work_after_leaving", "work after leaving"),
    ("cut_in_flight", "cut in flight"),
    ("lost_to_stop", "lost to a planned stop"),
    ("connections_over_cap", "connections over cap"),
    ("cpu_us_per_subrequest", "entry CPU per sub-request, us"),
    ("control_cpu_ratio", "control CPU per entry, cores"),
    ("control_bytes_per_s", "control bytes per entry and second"),
    ("platform_reads_per_s", "platform reads per second"),
    ("probes_per_s", "probes of endpoints per second"),
    ("config_lag_ms", "longest configuration lag, ms"),
    ("config_went_back", "returns to an older configuration"),
)
LABEL_WIDTH = 36
VALUE_WIDTH = 14


@dataclass(frozen=True, slots=True)
class Summary:
    """The result of a trial: its plan, the figures of both runs, and the outcome of each bound.

    `baseline` is None when the baseline was not run.
    """

    plan: TrialPlan
    figures: Figures
    baseline: Figures | None
    bounds: Sequence[BoundOutcome]

    @property
    def bounds_met(self) -> bool:
        """Return whether every bound was met."""
        return all(bound.met for bound in self.bounds)


def result_of(summary: Summary) -> dict[str, Any]:
    """Return the result as values that can be encoded as JSON, for programs."""
    result = _plain_figures(summary.figures)
    result["name"] = summary.plan.name
    result["seed"] = summary.plan.seed
    result["baseline"] = None if summary.baseline is None else _plain_figures(summary.baseline)
    result["bounds"] = [
        {"bound": bound.text, "value": bound.value, "limit": bound.limit, "met": bound.met}
        for bound in summary.bounds
    ]
    return result


def result_text(summary: Summary) -> str:
    """Return the result as text for people."""
    plan, region = summary.plan, summary.plan.region
    endpoints = sum(service.endpoints for service in region.services)
    lines = [
        f"trial {plan.name}, seed {plan.seed}: {region.entries} entries, {endpoints} endpoints, "
        f"{plan.duration_ms / 1000.0:g} s",
        "",
        f"{'':{LABEL_WIDTH}}{'radishmount':>{VALUE_WIDTH}}{'baseline':>{VALUE_WIDTH}}",
    ]
    for name, label in TEXT_ROWS:
        value = format_figure(summary.figures.by_name.get(name))
        baseline = (
            "" if summary.baseline is None else format_figure(summary.baseline.by_name.get(name))
        )
        lines.append(f"{label:{LABEL_WIDTH}}{value:>{VALUE_WIDTH}}{baseline:>{VALUE_WIDTH}}")
    refusals = summary.figures.refusals_by_code
    if refusals:
        counts = ", ".join(f"{code} {count}" for code, count in sorted(refusals.items()))
        lines.extend(["", f"not answered: {counts}"])
    if summary.figures.examples:
        lines.extend(["", "violations and lost calls, the first ones:"])
        lines.extend(f"  {example}" for example in summary.figures.examples)
    if summary.bounds:
        lines.append("")
    for bound in summary.bounds:
        verdict = "met   " if bound.met else "MISSED"
        limit = "" if bound.limit is None else f" (limit {format_figure(bound.limit)})"
        lines.append(f"{verdict} {bound.text}: {format_figure(bound.value)}{limit}")
    return "\n".join(lines)


def _plain_figures(figures: Figures) -> dict[str, Any]:
    plain: dict[str, Any] = dict(figures.by_name)
    plain["refusals_by_code"] = dict(figures.refusals_by_code)
    plain["examples"] = list(figures.examples)
    return plain


def format_figure(value: float | Mapping[str, Any] | None) -> str:
    """Return a figure as text for people; `-` when it was not measured."""
    if value is None:
        return "-"
    if isinstance(value, int):
        return str(value)
    if isinstance(value, float):
        return f"{value:.3f}" if value < 10.0 else f"{value:.1f}"
    return ""

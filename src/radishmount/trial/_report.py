"""Renders the result of a trial as one self-contained HTML page."""

import math
from collections.abc import Sequence
from html import escape

from radishmount.trial._figures import Figures
from radishmount.trial._plan import FaultPlan, TrialPlan
from radishmount.trial._plot import Axis, Band, Series, line_plot, scatter_plot
from radishmount.trial._records import CallOutcome, CallRecord
from radishmount.trial._summary import TEXT_ROWS, Summary, format_figure


__all__ = ["report_page"]

SYSTEM_COLOUR = "#06c"
BASELINE_COLOUR = "#c30"
LOW_MS, HIGH_MS = 1.0, 10_000.0
LATENCY_TICKS = tuple((value, f"{value:g}") for value in (1.0, 10.0, 100.0, 1_000.0, 10_000.0))
# The values of the quantile axis are numbers of nines: 1 is 90%, 2 is 99%, 3 is 99.9%.
QUANTILES = (
    0.0,
    10.0,
    20.0,
    30.0,
    40.0,
    50.0,
    60.0,
    70.0,
    80.0,
    90.0,
    95.0,
    97.5,
    99.0,
    99.5,
    99.9,
)
QUANTILE_TICKS = ((0.301, "50%"), (1.0, "90%"), (2.0, "99%"), (3.0, "99.9%"))
STYLE = (
    "body{font:15px sans-serif;max-width:800px;margin:2em auto}table{border-collapse:collapse}"
    "td,th{padding:2px 12px;border-bottom:1px solid #ddd;text-align:right}"
    "td:first-child,th:first-child{text-align:left}.missed{color:#c00;font-weight:bold}"
)


def report_page(
    summary: Summary, calls: Sequence[CallRecord], baseline_calls: Sequence[CallRecord]
) -> str:
    """Return the page: bounds, figures, latency by quantile and over time, and violations."""
    title = f"Trial {summary.plan.name}, seed {summary.plan.seed}"
    body = [
        f"<h1>{escape(title)}</h1>",
        "<h2>Bounds</h2>",
        _bounds_table(summary),
        "<h2>Figures</h2>",
        _figures_table(summary),
        "<h2>Latency by quantile</h2>",
        _quantile_plot(summary.figures, summary.baseline),
        "<h2>Latency over time</h2>",
        _time_plot(summary.plan, calls, baseline_calls),
        "<h2>Violations and lost calls</h2>",
        _examples_list(summary.figures),
    ]
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{escape(title)}'
        f"</title><style>{STYLE}</style></head><body>{''.join(body)}</body></html>\n"
    )


def _bounds_table(summary: Summary) -> str:
    if not summary.bounds:
        return "<p>The trial file states none.</p>"
    rows = []
    for bound in summary.bounds:
        verdict = "met" if bound.met else "missed"
        rows.append(
            f"<tr><td>{escape(bound.text)}</td><td>{format_figure(bound.value)}</td>"
            f'<td>{format_figure(bound.limit)}</td><td class="{verdict}">{verdict}</td></tr>'
        )
    head = "<tr><th>bound</th><th>value</th><th>limit</th><th></th></tr>"
    return f"<table>{head}{''.join(rows)}</table>"


def _figures_table(summary: Summary) -> str:
    rows = []
    for name, label in TEXT_ROWS:
        value = format_figure(summary.figures.by_name.get(name))
        baseline = (
            "" if summary.baseline is None else format_figure(summary.baseline.by_name.get(name))
        )
        rows.append(f"<tr><td>{escape(label)}</td><td>{value}</td><td>{baseline}</td></tr>")
    head = "<tr><th></th><th>radishmount</th><th>baseline</th></tr>"
    return f"<table>{head}{''.join(rows)}</table>"


def _quantile_plot(figures: Figures, baseline: Figures | None) -> str:
    series = [Series("radishmount", SYSTEM_COLOUR, _quantile_points(figures))]
    if baseline is not None:
        series.append(Series("baseline", BASELINE_COLOUR, _quantile_points(baseline)))
    x = Axis("share of answers", 0.0, 3.0, QUANTILE_TICKS)
    return line_plot(series, x, _latency_axis())


def _quantile_points(figures: Figures) -> list[tuple[float, float]]:
    if figures.histogram.get_total_count() == 0:
        return []
    points = []
    for quantile in QUANTILES:
        latency_ms = figures.histogram.get_value_at_percentile(quantile) / 1000.0
        points.append((_nines(quantile), latency_ms))
    return points


def _nines(quantile: float) -> float:
    return -math.log10(1.0 - quantile / 100.0)


def _time_plot(
    plan: TrialPlan, calls: Sequence[CallRecord], baseline_calls: Sequence[CallRecord]
) -> str:
    series = [
        Series("baseline", BASELINE_COLOUR, _time_points(baseline_calls)),
        Series("radishmount", SYSTEM_COLOUR, _time_points(calls)),
    ]
    end_s = plan.duration_ms / 1000.0
    step_s = max(1, round(end_s / 10))
    ticks = [(float(s), f"{s}") for s in range(0, int(end_s) + 1, step_s)]
    bands = [_fault_band(fault, plan.duration_ms) for fault in plan.faults]
    return scatter_plot(series, Axis("time, s", 0.0, end_s, ticks), _latency_axis(), bands)


def _time_points(calls: Sequence[CallRecord]) -> list[tuple[float, float]]:
    return [
        (call.at_ms / 1000.0, call.latency_ms)
        for call in calls
        if call.outcome is CallOutcome.ANSWER
    ]


def _fault_band(fault: FaultPlan, duration_ms: float) -> Band:
    until_ms = duration_ms if fault.until_ms is None else fault.until_ms
    return Band(f"{fault.kind} {' '.join(fault.targets)}", fault.at_ms / 1e3, until_ms / 1e3)


def _latency_axis() -> Axis:
    return Axis("latency, ms", LOW_MS, HIGH_MS, LATENCY_TICKS, logarithmic=True)


def _examples_list(figures: Figures) -> str:
    if not figures.examples:
        return "<p>None.</p>"
    return f"<ul>{''.join(f'<li>{escape(example)}</li>' for example in figures.examples)}</ul>"

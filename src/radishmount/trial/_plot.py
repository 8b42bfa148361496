"""Draws plots as inline SVG."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from html import escape


__all__ = ["Axis", "Band", "Series", "line_plot", "scatter_plot"]

WIDTH = 760
HEIGHT = 300
LEFT, RIGHT, TOP, BOTTOM = 60, 20, 20, 40
DOT_RADIUS = 2


@dataclass(frozen=True, slots=True)
class Series:
    """A named set of points drawn in one colour."""

    name: str
    colour: str
    points: Sequence[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class Axis:
    """One axis: its label, its range, and its ticks as pairs of value and text."""

    label: str
    low: float
    high: float
    ticks: Sequence[tuple[float, str]]
    logarithmic: bool = False

    def position(self, value: float) -> float:
        """Return the position of `value` on the axis, from 0 (`low`) to 1 (`high`)."""
        scale: Callable[[float], float] = math.log10 if self.logarithmic else float
        low, high = scale(self.low), scale(self.high)
        return min(1.0, max(0.0, (scale(max(value, self.low)) - low) / (high - low)))


@dataclass(frozen=True, slots=True)
class Band:
    """A labelled vertical band between two values of the x axis."""

    text: str
    low: float
    high: float


def line_plot(series: Sequence[Series], x: Axis, y: Axis) -> str:
    """Return a plot with a line through the points of each series."""
    elements = []
    for line in series:
        points = " ".join(
            f"{_x_position(x, a):.1f},{_y_position(y, b):.1f}" for a, b in line.points
        )
        elements.append(
            f'<polyline fill="none" stroke="{line.colour}" stroke-width="2" points="{points}"/>'
        )
    return _svg([*_draw_axes(x, y), *elements, *_draw_legend(series)])


def scatter_plot(series: Sequence[Series], x: Axis, y: Axis, bands: Sequence[Band] = ()) -> str:
    """Return a plot with a dot for each point, drawn over `bands`."""
    elements = [_draw_band(band, x, row) for row, band in enumerate(bands)]
    for dots in series:
        for a, b in dots.points:
            elements.append(
                f'<circle cx="{_x_position(x, a):.1f}" cy="{_y_position(y, b):.1f}" '
                f'r="{DOT_RADIUS}" fill="{dots.colour}" fill-opacity="0.6"/>'
            )
    return _svg([*elements, *_draw_axes(x, y), *_draw_legend(series)])


def _draw_band(band: Band, x: Axis, row: int) -> str:
    left, right = _x_position(x, band.low), _x_position(x, band.high)
    text_top = TOP + 12 + 12 * (row % 8)
    return (
        f'<rect x="{left:.1f}" y="{TOP}" width="{max(1.0, right - left):.1f}" '
        f'height="{HEIGHT - TOP - BOTTOM}" fill="#c60" fill-opacity="0.08"/>'
        f'<text x="{left + 2:.1f}" y="{text_top}" font-size="10">{escape(band.text)}</text>'
    )


def _draw_axes(x: Axis, y: Axis) -> list[str]:
    bottom, right = HEIGHT - BOTTOM, WIDTH - RIGHT
    elements = [
        f'<path d="M{LEFT} {TOP}V{bottom}H{right}" fill="none" stroke="#333"/>',
        f'<text x="{(LEFT + right) / 2}" y="{HEIGHT - 6}" text-anchor="middle">'
        f"{escape(x.label)}</text>",
        f'<text x="{LEFT}" y="{TOP - 6}">{escape(y.label)}</text>',
    ]
    for value, text in x.ticks:
        left = _x_position(x, value)
        elements.append(
            f'<text x="{left:.1f}" y="{bottom + 15}" text-anchor="middle">{escape(text)}</text>'
        )
    for value, text in y.ticks:
        top = _y_position(y, value)
        elements.append(f'<path d="M{LEFT} {top:.1f}H{right}" stroke="#ddd"/>')
        elements.append(
            f'<text x="{LEFT - 6}" y="{top + 4:.1f}" text-anchor="end">{escape(text)}</text>'
        )
    return elements


def _draw_legend(series: Sequence[Series]) -> list[str]:
    return [
        f'<text x="{WIDTH - RIGHT - 130}" y="{TOP + 14 * (row + 1)}" fill="{item.colour}">'
        f"{escape(item.name)}</text>"
        for row, item in enumerate(series)
    ]


def _svg(elements: Sequence[str]) -> str:
    return (
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" width="{WIDTH}" font-size="12" '
        f'font-family="sans-serif">{"".join(elements)}</svg>'
    )


def _x_position(x: Axis, value: float) -> float:
    return LEFT + x.position(value) * (WIDTH - LEFT - RIGHT)


def _y_position(y: Axis, value: float) -> float:
    return HEIGHT - BOTTOM - y.position(value) * (HEIGHT - TOP - BOTTOM)

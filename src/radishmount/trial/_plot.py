"""Plots as inline SVG."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from html import escape


__all__ = ["Axis", "Mark", "Series", "line_plot", "scatter_plot"]

WIDTH = 760
HEIGHT = 300
LEFT, RIGHT, TOP, BOTTOM = 60, 20, 20, 40
DOT_RADIUS = 2


@dataclass(frozen=True, slots=True)
class Series:
    """Points of one colour."""

    name: str
    colour: str
    points: Sequence[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class Axis:
    """One axis: its label, and the values at which it has a tick with its text."""

    label: str
    low: float
    high: float
    ticks: Sequence[tuple[float, str]]
    logarithmic: bool = False

    def share(self, value: float) -> float:
        """Return where `value` lies, from 0 at the low end to 1 at the high end."""
        scale: Callable[[float], float] = math.log10 if self.logarithmic else float
        low, high = scale(self.low), scale(self.high)
        return min(1.0, max(0.0, (scale(max(value, self.low)) - low) / (high - low)))


@dataclass(frozen=True, slots=True)
class Mark:
    """A vertical band from one value of the x axis to another."""

    text: str
    low: float
    high: float


def line_plot(series: Sequence[Series], x: Axis, y: Axis) -> str:
    """Return lines through the points of each series."""
    drawn = []
    for one in series:
        points = " ".join(f"{_left(x, a):.1f},{_top(y, b):.1f}" for a, b in one.points)
        drawn.append(
            f'<polyline fill="none" stroke="{one.colour}" stroke-width="2" points="{points}"/>'
        )
    return _svg([*_axes(x, y), *drawn, *_legend(series)])


def scatter_plot(series: Sequence[Series], x: Axis, y: Axis, marks: Sequence[Mark] = ()) -> str:
    """Return one dot for each point, over bands for `marks`."""
    drawn = [_band(mark, x, row) for row, mark in enumerate(marks)]
    for one in series:
        for a, b in one.points:
            drawn.append(
                f'<circle cx="{_left(x, a):.1f}" cy="{_top(y, b):.1f}" r="{DOT_RADIUS}" '
                f'fill="{one.colour}" fill-opacity="0.6"/>'
            )
    return _svg([*drawn, *_axes(x, y), *_legend(series)])


def _band(mark: Mark, x: Axis, row: int) -> str:
    left, right = _left(x, mark.low), _left(x, mark.high)
    text_top = TOP + 12 + 12 * (row % 8)
    return (
        f'<rect x="{left:.1f}" y="{TOP}" width="{max(1.0, right - left):.1f}" '
        f'height="{HEIGHT - TOP - BOTTOM}" fill="#c60" fill-opacity="0.08"/>'
        f'<text x="{left + 2:.1f}" y="{text_top}" font-size="10">{escape(mark.text)}</text>'
    )


def _axes(x: Axis, y: Axis) -> list[str]:
    bottom, right = HEIGHT - BOTTOM, WIDTH - RIGHT
    drawn = [
        f'<path d="M{LEFT} {TOP}V{bottom}H{right}" fill="none" stroke="#333"/>',
        f'<text x="{(LEFT + right) / 2}" y="{HEIGHT - 6}" text-anchor="middle">'
        f"{escape(x.label)}</text>",
        f'<text x="{LEFT}" y="{TOP - 6}">{escape(y.label)}</text>',
    ]
    for value, text in x.ticks:
        left = _left(x, value)
        drawn.append(
            f'<text x="{left:.1f}" y="{bottom + 15}" text-anchor="middle">{escape(text)}</text>'
        )
    for value, text in y.ticks:
        top = _top(y, value)
        drawn.append(f'<path d="M{LEFT} {top:.1f}H{right}" stroke="#ddd"/>')
        drawn.append(
            f'<text x="{LEFT - 6}" y="{top + 4:.1f}" text-anchor="end">{escape(text)}</text>'
        )
    return drawn


def _legend(series: Sequence[Series]) -> list[str]:
    return [
        f'<text x="{WIDTH - RIGHT - 130}" y="{TOP + 14 * (row + 1)}" fill="{one.colour}">'
        f"{escape(one.name)}</text>"
        for row, one in enumerate(series)
    ]


def _svg(drawn: Sequence[str]) -> str:
    return (
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" width="{WIDTH}" font-size="12" '
        f'font-family="sans-serif">{"".join(drawn)}</svg>'
    )


def _left(x: Axis, value: float) -> float:
    return LEFT + x.share(value) * (WIDTH - LEFT - RIGHT)


def _top(y: Axis, value: float) -> float:
    return HEIGHT - BOTTOM - y.share(value) * (HEIGHT - TOP - BOTTOM)

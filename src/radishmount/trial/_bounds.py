"""Checks the bounds of a trial against the figures of a run."""

from collections.abc import Sequence
from dataclasses import dataclass

from radishmount.trial._figures import Figures
from radishmount.trial._plan import BoundPlan


__all__ = ["BoundOutcome", "check_bounds"]

BASELINE_PREFIX = "baseline."


@dataclass(frozen=True, slots=True)
class BoundOutcome:
    """One bound as text, the value of its figure, its limit, and whether it was met.

    `value` is None when the figure was not measured; the bound then counts as missed.
    """

    text: str
    value: float | None
    limit: float | None
    met: bool


def check_bounds(
    bounds: Sequence[BoundPlan], figures: Figures, baseline: Figures | None
) -> list[BoundOutcome]:
    """Return the outcome of each bound."""
    return [_check_bound(bound, figures, baseline) for bound in bounds]


def _check_bound(bound: BoundPlan, figures: Figures, baseline: Figures | None) -> BoundOutcome:
    value = _figure_at(bound.figure, figures, baseline)
    sign, stated = ("<=", bound.at_most) if bound.at_most is not None else (">=", bound.at_least)
    text = f"{bound.figure} {sign} {stated:g}" if stated is not None else bound.figure
    limit = stated
    if bound.times:
        text += f" x {bound.times}"
        reference = _figure_at(bound.times, figures, baseline)
        limit = None if stated is None or reference is None else stated * reference
    if value is None or limit is None:
        return BoundOutcome(text, value, limit, met=False)
    met = value <= limit if sign == "<=" else value >= limit
    return BoundOutcome(text, value, limit, met)


def _figure_at(path: str, figures: Figures, baseline: Figures | None) -> float | None:
    if not path.startswith(BASELINE_PREFIX):
        return figures.figure(path)
    return None if baseline is None else baseline.figure(path.removeprefix(BASELINE_PREFIX))

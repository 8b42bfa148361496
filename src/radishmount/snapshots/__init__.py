"""Snapshots: index versions, the shard map of a version, and coverage."""

from radishmount.snapshots._coverage import Coverage, coverage_of
from radishmount.snapshots._snapshot import (
    Snapshot,
    choose_best_snapshot,
    choose_snapshot,
    may_become_whole,
)


__all__ = [
    "Coverage",
    "Snapshot",
    "choose_best_snapshot",
    "choose_snapshot",
    "coverage_of",
    "may_become_whole",
]

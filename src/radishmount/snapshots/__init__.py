"""Snapshots: the choice of an index version with its shard map, and coverage."""

from radishmount.snapshots._coverage import Coverage, coverage_of
from radishmount.snapshots._snapshot import (
    Snapshot,
    choose_complete_snapshot,
    choose_partial_snapshot,
    may_become_complete,
)


__all__ = [
    "Coverage",
    "Snapshot",
    "choose_partial_snapshot",
    "choose_complete_snapshot",
    "coverage_of",
    "may_become_complete",
]

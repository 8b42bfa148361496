"""Evaluates one run: from the records of calls and endpoints to figures and violations."""

from collections.abc import Iterable, Sequence

from radishmount.trial._figures import ControlCost, Figures, figures_of
from radishmount.trial._plan import TrialPlan
from radishmount.trial._records import CallRecord, EndpointRecord
from radishmount.trial._region import parts_of
from radishmount.trial._violations import count_violations


__all__ = ["LOAD_PREFIX", "evaluate_run"]

LOAD_PREFIX = "q"


def evaluate_run(
    plan: TrialPlan,
    calls: Sequence[CallRecord],
    records: Iterable[EndpointRecord],
    cost: ControlCost,
    connections_over_cap: int = 0,
    stopped_entries: Iterable[str] = (),
) -> Figures:
    """Return the figures of one run, without the endpoint records of the warm-up.

    `stopped_entries` names the entries that were asked to stop gracefully.
    """
    load_records = [record for record in records if record.request_id.startswith(LOAD_PREFIX)]
    parts = {collection.name: parts_of(collection) for collection in plan.region.collections}
    violations = count_violations(calls, load_records, parts, stopped_entries)
    return figures_of(plan, calls, load_records, violations, cost, connections_over_cap)

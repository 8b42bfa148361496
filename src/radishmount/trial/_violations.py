"""Broken promises, counted from what the endpoints recorded against what callers were told."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from radishmount.codes import RunStatus
from radishmount.publication import Part, covers
from radishmount.trial._records import CallRecord, EndpointRecord, RowTold, Told


__all__ = ["Violations", "count_violations"]

LEAVING_GRACE_MS = 3_000.0
KEPT_EXAMPLES = 20
INTERNAL_ERROR = "INTERNAL"

RecordsById = Mapping[str, Sequence[EndpointRecord]]


@dataclass(slots=True)
class Violations:
    """How often each promise was broken, with the first examples of it."""

    count_by_name: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)

    def add(self, name: str, example: str) -> None:
        """Count one broken promise."""
        self.count_by_name[name] += 1
        self.note(f"{name}: {example}")

    def note(self, example: str) -> None:
        """Keep one line for people to read."""
        if len(self.examples) < KEPT_EXAMPLES:
            self.examples.append(example)


def count_violations(
    calls: Iterable[CallRecord],
    records: Iterable[EndpointRecord],
    parts_by_collection: Mapping[str, Sequence[Part]],
    stopped_entries: Iterable[str] = (),
) -> Violations:
    """Return the broken promises of one run.

    `stopped_entries` are those that were asked to stop gracefully: they may cut nothing.
    """
    violations = Violations()
    listed = list(records)
    records_by_id: dict[str, list[EndpointRecord]] = defaultdict(list)
    for record in listed:
        records_by_id[record.request_id].append(record)
    stopped = frozenset(stopped_entries)
    for call in calls:
        _check_tries(call, records_by_id, stopped, violations)
        _check_lost(call, stopped, violations)
        if call.told is Told.ANSWER and call.collection in parts_by_collection:
            _check_answer(call, records_by_id, violations)
            _check_coverage(call, parts_by_collection[call.collection], records_by_id, violations)
    _check_orders(listed, violations)
    _check_leaving(listed, violations)
    return violations


def _check_answer(call: CallRecord, records_by_id: RecordsById, violations: Violations) -> None:
    versions = {_version_at_endpoint(row, records_by_id) for row in call.rows}
    if versions - {call.index_version}:
        told = f"told {call.index_version}, rows of {sorted(versions)}"
        violations.add("mixed_snapshots", f"{call.request_id} {told}")
    if _is_crossed(call, records_by_id):
        violations.add("crossed_answers", call.request_id)


def _is_crossed(call: CallRecord, records_by_id: RecordsById) -> bool:
    if call.echoed_request_id != call.request_id:
        return True
    for row in call.rows:
        if row.request_id != call.request_id or row.text != call.text:
            return True
        if _record_of(row, records_by_id) is None:
            return True
    return False


def _check_coverage(
    call: CallRecord, parts: Sequence[Part], records_by_id: RecordsById, violations: Violations
) -> None:
    """Hold what an answer says it covers against the key ranges that its rows came from."""
    ranges = [row.keys for row in call.rows if _record_of(row, records_by_id) is not None]
    named = {*call.covered, *call.missing}
    for part in parts:
        if part.name not in named:
            violations.add("false_coverage", f"{call.request_id} does not speak of {part.name}")
            return
        if part.name in call.covered and not covers(ranges, part.keys):
            violations.add("false_coverage", f"{call.request_id} has no rows of {part.name}")
            return
    if call.complete == bool(call.missing):
        violations.add("false_coverage", f"{call.request_id} complete, yet parts are missing")


def _check_tries(
    call: CallRecord, records_by_id: RecordsById, stopped: frozenset[str], violations: Violations
) -> None:
    for attempt in call.tries:
        reached = records_by_id.get(attempt.request_id, ())
        if attempt.ran == RunStatus.NOT_RUN and any(record.ran for record in reached):
            told = f"{attempt.request_id} refused as {attempt.refused_as}"
            violations.add("ran_after_not_run", told)
        if attempt.cut and attempt.instance in stopped and reached:
            violations.add("cut_in_flight", f"{attempt.request_id} at {attempt.instance}")


def _check_lost(call: CallRecord, stopped: frozenset[str], violations: Violations) -> None:
    """Count a call that was lost, for which no entry but one asked to stop can be blamed."""
    if call.code == INTERNAL_ERROR:
        violations.note(f"{call.code}: {call.call_id} at {call.at_ms:.0f} ms, {call.detail}")
    if call.told is not Told.LOST:
        return
    tries = ", ".join(f"{t.instance}{' cut' if t.cut else ''}" for t in call.tries)
    told = f"{call.call_id} at {call.at_ms:.0f} ms, tried {tries or 'none'}"
    violations.note(f"lost: {told}")
    if call.tries and call.tries[-1].instance in stopped:
        violations.add("lost_to_stop", told)


def _check_orders(records: Iterable[EndpointRecord], violations: Violations) -> None:
    runs_by_key: Counter[str] = Counter()
    for record in records:
        if record.order_key is not None and record.ran:
            runs_by_key[record.order_key] += 1
    for key, runs in runs_by_key.items():
        if runs > 1:
            violations.add("ran_twice", f"order {key} ran {runs} times")


def _check_leaving(records: Iterable[EndpointRecord], violations: Violations) -> None:
    for record in records:
        if record.leaving_since_ms is None:
            continue
        late_ms = record.at_ms - record.leaving_since_ms
        if late_ms > LEAVING_GRACE_MS:
            told = f"{record.endpoint} got {record.request_id} {late_ms:.0f} ms after it left"
            violations.add("work_after_leaving", told)


def _version_at_endpoint(row: RowTold, records_by_id: RecordsById) -> int:
    record = _record_of(row, records_by_id)
    return row.index_version if record is None else record.index_version


def _record_of(row: RowTold, records_by_id: RecordsById) -> EndpointRecord | None:
    """Return the endpoint's own record of the work that made `row`, none if there is none."""
    for record in records_by_id.get(row.request_id, ()):
        if record.endpoint == row.endpoint and record.attempt == row.attempt and record.ran:
            return record
    return None

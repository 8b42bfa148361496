"""Counts violations of the guarantees: compares endpoint records with the answers of callers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from radishmount.codes import RunStatus
from radishmount.publication import Part, covers
from radishmount.trial._records import CallOutcome, CallRecord, EndpointRecord, RowOrigin


__all__ = ["Violations", "count_violations"]

LEAVING_GRACE_MS = 3_000.0
MAX_EXAMPLES = 20
INTERNAL_ERROR = "INTERNAL"

RecordsById = Mapping[str, Sequence[EndpointRecord]]


@dataclass(slots=True)
class Violations:
    """The number of violations by name, and the first examples."""

    count_by_name: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)

    def add(self, name: str, example: str) -> None:
        """Count one violation and keep it as an example."""
        self.count_by_name[name] += 1
        self.note(f"{name}: {example}")

    def note(self, example: str) -> None:
        """Keep one example as text for people, up to `MAX_EXAMPLES`."""
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(example)


def count_violations(
    calls: Iterable[CallRecord],
    records: Iterable[EndpointRecord],
    parts_by_collection: Mapping[str, Sequence[Part]],
    stopped_entries: Iterable[str] = (),
) -> Violations:
    """Return the violations of one run.

    `stopped_entries` names the entries that were asked to stop gracefully. They must not cut
    requests in flight or lose calls.
    """
    violations = Violations()
    endpoint_records = list(records)
    records_by_id: dict[str, list[EndpointRecord]] = defaultdict(list)
    for record in endpoint_records:
        records_by_id[record.request_id].append(record)
    stopped = frozenset(stopped_entries)
    for call in calls:
        _check_attempts(call, records_by_id, stopped, violations)
        _check_lost_call(call, stopped, violations)
        if call.outcome is CallOutcome.ANSWER and call.collection in parts_by_collection:
            _check_answer(call, records_by_id, violations)
            _check_coverage(call, parts_by_collection[call.collection], records_by_id, violations)
    _check_orders_ran_once(endpoint_records, violations)
    _check_work_after_leaving(endpoint_records, violations)
    return violations


def _check_answer(call: CallRecord, records_by_id: RecordsById, violations: Violations) -> None:
    versions = {_version_at_endpoint(row, records_by_id) for row in call.rows}
    if versions - {call.index_version}:
        example = f"reported version {call.index_version}, rows of {sorted(versions)}"
        violations.add("mixed_snapshots", f"{call.request_id} {example}")
    if _belongs_to_another_request(call, records_by_id):
        violations.add("crossed_answers", call.request_id)


def _belongs_to_another_request(call: CallRecord, records_by_id: RecordsById) -> bool:
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
    """Compare the coverage that an answer reports with the key ranges that its rows came from."""
    ranges = [row.keys for row in call.rows if _record_of(row, records_by_id) is not None]
    named = {*call.covered, *call.missing}
    for part in parts:
        if part.name not in named:
            violations.add("false_coverage", f"{call.request_id} does not report {part.name}")
            return
        if part.name in call.covered and not covers(ranges, part.keys):
            violations.add("false_coverage", f"{call.request_id} has no rows of {part.name}")
            return
    if call.complete == bool(call.missing):
        violations.add("false_coverage", f"{call.request_id} complete does not match missing parts")


def _check_attempts(
    call: CallRecord, records_by_id: RecordsById, stopped: frozenset[str], violations: Violations
) -> None:
    for attempt in call.attempts:
        reached = records_by_id.get(attempt.request_id, ())
        if attempt.ran == RunStatus.NOT_RUN and any(record.ran for record in reached):
            example = f"{attempt.request_id} refused as {attempt.refused_as}"
            violations.add("ran_after_not_run", example)
        if attempt.cut and attempt.instance in stopped and reached:
            violations.add("cut_in_flight", f"{attempt.request_id} at {attempt.instance}")


def _check_lost_call(call: CallRecord, stopped: frozenset[str], violations: Violations) -> None:
    """Note internal errors and lost calls; a call lost at a gracefully stopped entry is counted.

    Other faults of a trial may cost calls, so a call lost at any other entry is no violation.
    """
    if call.code == INTERNAL_ERROR:
        violations.note(f"{call.code}: {call.call_id} at {call.at_ms:.0f} ms, {call.detail}")
    if call.outcome is not CallOutcome.LOST:
        return
    attempts = ", ".join(
        f"{attempt.instance}{' cut' if attempt.cut else ''}" for attempt in call.attempts
    )
    example = f"{call.call_id} at {call.at_ms:.0f} ms, tried {attempts or 'none'}"
    violations.note(f"lost: {example}")
    if call.attempts and call.attempts[-1].instance in stopped:
        violations.add("lost_to_stop", example)


def _check_orders_ran_once(records: Iterable[EndpointRecord], violations: Violations) -> None:
    runs_by_key: Counter[str] = Counter()
    for record in records:
        if record.order_key is not None and record.ran:
            runs_by_key[record.order_key] += 1
    for key, runs in runs_by_key.items():
        if runs > 1:
            violations.add("ran_twice", f"order {key} ran {runs} times")


def _check_work_after_leaving(records: Iterable[EndpointRecord], violations: Violations) -> None:
    for record in records:
        if record.leaving_since_ms is None:
            continue
        late_ms = record.at_ms - record.leaving_since_ms
        if late_ms > LEAVING_GRACE_MS:
            example = (
                f"{record.endpoint} got {record.request_id} {late_ms:.0f} ms "
                "after it began to leave"
            )
            violations.add("work_after_leaving", example)


def _version_at_endpoint(row: RowOrigin, records_by_id: RecordsById) -> int:
    record = _record_of(row, records_by_id)
    return row.index_version if record is None else record.index_version


def _record_of(row: RowOrigin, records_by_id: RecordsById) -> EndpointRecord | None:
    """Return the endpoint's record of the request that produced `row`, or None."""
    for record in records_by_id.get(row.request_id, ()):
        if record.endpoint == row.endpoint and record.attempt == row.attempt and record.ran:
            return record
    return None

"""Checks that a run kept the promises of the fleet. Each check returns the violations of one."""

from collections import Counter
from collections.abc import Callable

from soak._records import Records, RequestKind, RequestRecord


__all__ = ["STORE", "TOP_RECORDS", "MAX_RECOVERY_S", "broken_promises"]

STORE = "store"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RECORD_BYTES = 16
TOP_RECORDS = 5
# Time limits that follow from the settings that the instances are started with.
SETTLING_S = 4.0  # a disturbance that ended within this time before an event excuses violations
MAX_ACTIVATION_S = 3.0
MAX_DRAIN_NOTICE_S = 3.0
VERSION_ORDER_MARGIN_S = 0.25
MAX_RECOVERY_S = 5.0

Check = Callable[[Records], list[str]]


def ran_twice(records: Records) -> list[str]:
    """Return the orders that ran more than once."""
    orders = {
        request.request_id for request in records.requests if request.kind is RequestKind.ORDER
    }
    runs = Counter(
        execution.request_id for execution in records.executions if execution.request_id in orders
    )
    return [
        f"order {request_id} ran {count} times" for request_id, count in runs.items() if count > 1
    ]


def ran_after_not_run(records: Records) -> list[str]:
    """Return the requests that were refused as not run and yet ran, at any time."""
    executed_ids = {execution.request_id for execution in records.executions}
    return [
        f"{request.kind} {request.request_id} was answered {request.status}"
        f" by {request.instance} and ran"
        for request in records.requests
        if request.status in NOT_RUN_STATUSES and request.request_id in executed_ids
    ]


def crossed_answers(records: Records) -> list[str]:
    """Return the successes that are not the endpoint's own, complete answer to the request."""
    violations = []
    for request in records.requests:
        if request.status != 200 or request.kind is RequestKind.GATHER:
            continue
        (stamp,) = request.stamps or ("",)
        if not stamp.endswith(f"/{request.request_id}"):
            violations.append(f"{request.request_id} got the answer {stamp or 'without a stamp'}")
        elif records.body_by_stamp.get(stamp) != request.body:
            violations.append(f"{request.request_id} got a different body than {stamp} sent")
    return violations


def untrue_merges(records: Records) -> list[str]:
    """Return the merged answers that are wrong.

    A merged answer holds the greatest records of its parts, all from the shards of one version,
    and states how many parts are missing.
    """
    shard_sets = {published.shard_services for published in records.published}
    violations = []
    for request in records.requests:
        if request.status != 200 or request.kind is not RequestKind.GATHER:
            continue
        split_stamps = [stamp.partition("/") for stamp in request.stamps]
        services = [endpoint.rpartition("-")[0] for endpoint, _, _ in split_stamps]
        if any(request_id != request.request_id for _, _, request_id in split_stamps):
            violations.append(f"{request.request_id} holds parts of other requests")
        if len(set(services)) != len(services):
            violations.append(f"{request.request_id} holds two parts of one shard")
        matching_sets = [s for s in shard_sets if set(services) <= set(s)]
        if not any(
            len(services) + request.missing_parts == len(shards) for shards in matching_sets
        ):
            violations.append(f"{request.request_id} mixes versions, or miscounts missing parts")
        if request.body != _merge_top_records(records, request):
            violations.append(f"{request.request_id} lacks the greatest records of its parts")
    return violations


def sent_to_leaving(records: Records) -> list[str]:
    """Return the requests that reached an endpoint too long after it announced that it leaves."""
    instance_by_id = {request.request_id: request.instance for request in records.requests}
    violations = []
    for execution in records.executions:
        draining_since_s = records.draining_since_s_by_endpoint.get(execution.endpoint)
        if (
            draining_since_s is None
            or execution.started_at_s - draining_since_s <= MAX_DRAIN_NOTICE_S
        ):
            continue
        names = (STORE, instance_by_id.get(execution.request_id, ""))
        if records.was_undisturbed(names, draining_since_s - SETTLING_S, execution.started_at_s):
            late_s = execution.started_at_s - draining_since_s
            violations.append(
                f"{execution.request_id} reached {execution.endpoint} {late_s:.1f} s after it"
                " announced that it leaves"
            )
    return violations


def not_in_force(records: Records) -> list[str]:
    """Return the requests that show an outdated version, or that the newest is not served yet.

    `MAX_ACTIVATION_S` after a version is published, the route that only this version has must
    exist, and that of the version before must not.
    """
    violations = []
    for request in records.requests:
        if request.kind is not RequestKind.MARK or request.status not in (200, 404):
            continue
        due = [
            p for p in records.published if p.published_at_s + MAX_ACTIVATION_S <= request.sent_at_s
        ]
        already_published = [
            p
            for p in records.published
            if p.published_at_s <= (request.ended_at_s or request.sent_at_s)
        ]
        if not due or not records.was_undisturbed(
            (STORE, request.instance), due[-1].published_at_s - SETTLING_S, request.sent_at_s
        ):
            continue
        allowed = {p.version for p in already_published if p.version >= due[-1].version}
        if request.status == 200 and request.marked_version not in allowed:
            violations.append(
                f"{request.request_id}: {request.instance} still serves version"
                f" {request.marked_version}"
            )
        if request.status == 404 and allowed == {request.marked_version}:
            violations.append(
                f"{request.request_id}: {request.instance} does not serve version"
                f" {request.marked_version} yet"
            )
    return violations


def went_back(records: Records) -> list[str]:
    """Return the cases of an instance that went back to an older version without a restart."""
    violations = []
    served = [a for a in records.requests if a.kind is RequestKind.MARK and a.status == 200]
    for later in served:
        starts = records.start_times_s_by_instance.get(later.instance, [])
        started_at_s = max((s for s in starts if s <= later.sent_at_s), default=0.0)
        for earlier in served:
            if earlier.instance != later.instance or earlier.marked_version <= later.marked_version:
                continue
            earlier_ended_at_s = earlier.ended_at_s or earlier.sent_at_s
            if (
                earlier.sent_at_s > started_at_s
                and later.sent_at_s > earlier_ended_at_s + VERSION_ORDER_MARGIN_S
            ):
                violations.append(
                    f"{later.instance} served version {later.marked_version}"
                    f" after {earlier.marked_version}"
                )
                break
    return violations


def not_served_again(records: Records) -> list[str]:
    """Return the requests that were not answered in full after the fleet had time to recover."""
    violations = []
    for request in records.requests:
        if request.sent_at_s < records.healed_at_s + MAX_RECOVERY_S:
            continue
        if request.kind is RequestKind.MARK or request.ended_at_s is None:
            continue  # its version may be outdated, or the run ended before its answer
        if request.status != 200 or request.missing_parts:
            what = f"status {request.status}, {request.missing_parts} parts missing"
            violations.append(f"{request.kind} {request.request_id} at {request.instance}: {what}")
    return violations


def strangers(records: Records) -> list[str]:
    """Return the instances that do not know all others.

    A run whose instances are not connected to each other proves little.
    """
    return [
        f"{instance} knows {count} of {len(records.known_count_by_instance)} instances"
        for instance, count in records.known_count_by_instance.items()
        if count < len(records.known_count_by_instance)
    ]


def ended_by_itself(records: Records) -> list[str]:
    """Return the exits of instances that no signal or invalid settings caused."""
    return records.unexpected_exits


# These must hold on a machine of any speed.
TIMELESS_CHECKS: tuple[Check, ...] = (
    ran_twice,
    ran_after_not_run,
    crossed_answers,
    untrue_merges,
    ended_by_itself,
    strangers,
)
TIMED_CHECKS: tuple[Check, ...] = (sent_to_leaving, not_in_force, went_back, not_served_again)


def broken_promises(records: Records, *, timeless: bool = False) -> dict[str, list[str]]:
    """Return the violations by the name of the check that found them.

    With `timeless`, checks with time limits are skipped. Checks without violations are left out.
    """
    checks = TIMELESS_CHECKS if timeless else TIMELESS_CHECKS + TIMED_CHECKS
    violations_by_check = {check.__name__: check(records) for check in checks}
    return {name: violations for name, violations in violations_by_check.items() if violations}


def _merge_top_records(records: Records, request: RequestRecord) -> bytes:
    parts = [records.body_by_stamp.get(stamp, b"") for stamp in request.stamps]
    rows = [
        part[at : at + RECORD_BYTES]
        for part in parts
        for at in range(0, len(part) - len(part) % RECORD_BYTES, RECORD_BYTES)
    ]
    return b"".join(sorted(rows, reverse=True)[:TOP_RECORDS])

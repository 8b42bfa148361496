"""The promises, checked on what was seen. Each function returns what broke one."""

from collections import Counter
from collections.abc import Callable

from soak._records import Asked, Records, RequestKind


__all__ = ["STORE", "TOP_RECORDS", "SERVED_AGAIN_S", "broken_promises"]

STORE = "store"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RECORD_BYTES = 16
TOP_RECORDS = 5
# The bounds of the settings that the instances are started with, in seconds.
IN_TOUCH_S = 4.0
IN_FORCE_S = 3.0
LEAVING_S = 3.0
NO_WAY_BACK_S = 0.25
SERVED_AGAIN_S = 5.0

Check = Callable[[Records], list[str]]


def ran_twice(records: Records) -> list[str]:
    """Orders run at most once."""
    orders = {asked.request_id for asked in records.asked if asked.kind is RequestKind.ORDER}
    runs = Counter(ran.request_id for ran in records.ran if ran.request_id in orders)
    return [
        f"order {request_id} ran {count} times" for request_id, count in runs.items() if count > 1
    ]


def ran_after_not_run(records: Records) -> list[str]:
    """What was refused as not run did not run, then or later."""
    ran = {entry.request_id for entry in records.ran}
    return [
        f"{asked.kind} {asked.request_id} was answered {asked.status} by {asked.instance} and ran"
        for asked in records.asked
        if asked.status in NOT_RUN_STATUSES and asked.request_id in ran
    ]


def crossed_answers(records: Records) -> list[str]:
    """A success is the endpoint's own whole answer to this very request."""
    broken = []
    for asked in records.asked:
        if asked.status != 200 or asked.kind is RequestKind.GATHER:
            continue
        (signature,) = asked.signatures or ("",)
        if not signature.endswith(f"/{asked.request_id}"):
            broken.append(f"{asked.request_id} got the answer {signature or 'without a signature'}")
        elif records.bodies_by_signature.get(signature) != asked.body:
            broken.append(f"{asked.request_id} got another body than {signature} sent")
    return broken


def untrue_merges(records: Records) -> list[str]:
    """A merged answer holds the greatest records of parts of one version, and counts the rest."""
    shard_sets = {published.shards for published in records.published}
    broken = []
    for asked in records.asked:
        if asked.status != 200 or asked.kind is not RequestKind.GATHER:
            continue
        named = [signature.partition("/") for signature in asked.signatures]
        services = [endpoint.rpartition("-")[0] for endpoint, _, _ in named]
        if any(request_id != asked.request_id for _, _, request_id in named):
            broken.append(f"{asked.request_id} holds parts of other requests")
        if len(set(services)) != len(services):
            broken.append(f"{asked.request_id} holds two parts of one shard")
        fitting = [s for s in shard_sets if set(services) <= set(s)]
        if not any(len(services) + asked.missing == len(shards) for shards in fitting):
            broken.append(f"{asked.request_id} mixes versions, or miscounts what is missing")
        if asked.body != _greatest(records, asked):
            broken.append(f"{asked.request_id} does not hold the greatest records of its parts")
    return broken


def sent_to_leaving(records: Records) -> list[str]:
    """Nothing new reaches an endpoint that said that it leaves, some seconds later."""
    instance_by_id = {asked.request_id: asked.instance for asked in records.asked}
    broken = []
    for ran in records.ran:
        drained_at_s = records.drained_at_s_by_endpoint.get(ran.endpoint)
        if drained_at_s is None or ran.at_s - drained_at_s <= LEAVING_S:
            continue
        names = (STORE, instance_by_id.get(ran.request_id, ""))
        if records.was_calm(names, drained_at_s - IN_TOUCH_S, ran.at_s):
            late_s = ran.at_s - drained_at_s
            broken.append(f"{ran.request_id} reached {ran.endpoint} {late_s:.1f} s after its word")
    return broken


def not_in_force(records: Records) -> list[str]:
    """A version is in force within seconds: its own route is there, that of the last one is not."""
    broken = []
    for asked in records.asked:
        if asked.kind is not RequestKind.MARK or asked.status not in (200, 404):
            continue
        due = [p for p in records.published if p.at_s + IN_FORCE_S <= asked.sent_at_s]
        sent = [p for p in records.published if p.at_s <= (asked.ended_at_s or asked.sent_at_s)]
        if not due or not records.was_calm(
            (STORE, asked.instance), due[-1].at_s - IN_TOUCH_S, asked.sent_at_s
        ):
            continue
        allowed = {p.version for p in sent if p.version >= due[-1].version}
        if asked.status == 200 and asked.mark not in allowed:
            broken.append(f"{asked.request_id}: {asked.instance} still serves version {asked.mark}")
        if asked.status == 404 and allowed == {asked.mark}:
            broken.append(f"{asked.request_id}: {asked.instance} has no version {asked.mark} yet")
    return broken


def went_back(records: Records) -> list[str]:
    """In one life of an instance no version comes back."""
    broken = []
    marks = [a for a in records.asked if a.kind is RequestKind.MARK and a.status == 200]
    for later in marks:
        starts = records.starts_at_s_by_instance.get(later.instance, [])
        born_at_s = max((s for s in starts if s <= later.sent_at_s), default=0.0)
        for earlier in marks:
            if earlier.instance != later.instance or earlier.mark <= later.mark:
                continue
            seen_at_s = earlier.ended_at_s or earlier.sent_at_s
            if earlier.sent_at_s > born_at_s and later.sent_at_s > seen_at_s + NO_WAY_BACK_S:
                broken.append(f"{later.instance} served version {later.mark} after {earlier.mark}")
                break
    return broken


def not_served_again(records: Records) -> list[str]:
    """Once all is well, every request is answered in full."""
    broken = []
    for asked in records.asked:
        if asked.sent_at_s < records.calm_from_s + SERVED_AGAIN_S:
            continue
        if asked.kind is RequestKind.MARK or asked.ended_at_s is None:
            continue  # a mark may be of the version before, and the end of the run cut one off
        if asked.status != 200 or asked.missing:
            what = f"status {asked.status}, {asked.missing} missing"
            broken.append(f"{asked.kind} {asked.request_id} at {asked.instance}: {what}")
    return broken


def strangers(records: Records) -> list[str]:
    """Instances know each other; a fleet that never met proves little."""
    return [
        f"{instance} knows {count} of {len(records.known_by_instance)} instances"
        for instance, count in records.known_by_instance.items()
        if count < len(records.known_by_instance)
    ]


def ended_by_itself(records: Records) -> list[str]:
    """No instance ends unless it is told to."""
    return records.own_exits


# What must hold however slow the machine is that the run is made on.
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
    """Return what broke each promise, by the name of the check."""
    checks = TIMELESS_CHECKS if timeless else TIMELESS_CHECKS + TIMED_CHECKS
    found = {check.__name__: check(records) for check in checks}
    return {name: broken for name, broken in found.items() if broken}


def _greatest(records: Records, asked: Asked) -> bytes:
    parts = [records.bodies_by_signature.get(signature, b"") for signature in asked.signatures]
    rows = [
        part[at : at + RECORD_BYTES]
        for part in parts
        for at in range(0, len(part) - len(part) % RECORD_BYTES, RECORD_BYTES)
    ]
    return b"".join(sorted(rows, reverse=True)[:TOP_RECORDS])

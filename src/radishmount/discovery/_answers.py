"""Applies the entries of an answer of the store to the list of endpoints."""

from radishmount.audit import AuditTrail
from radishmount.discovery._endpoint_list import EndpointList
from radishmount.discovery._store import (
    ConfigurationEntry,
    EndpointEntry,
    EvacuationEntry,
    StoreAnswer,
)


__all__ = ["apply_changes", "apply_evacuations", "apply_full_read"]


def apply_evacuations(endpoints: EndpointList, answer: StoreAnswer, *, is_full: bool) -> bool:
    """Apply the evacuations of an answer; return whether news of it must tell of them.

    A watch may return the beginning and the end of an evacuation together. A peer that has the
    beginning only must learn of the end, although nothing changes here.
    """
    entries = [entry for entry in answer.entries if isinstance(entry, EvacuationEntry)]
    evacuated = set() if is_full else set(endpoints.evacuated_data_centres)
    for entry in entries:
        if entry.is_requested:
            evacuated.add(entry.data_centre)
        else:
            evacuated.discard(entry.data_centre)
    has_changed = endpoints.set_evacuated(evacuated)
    return has_changed or (bool(entries) and not is_full)


def apply_full_read(
    endpoints: EndpointList, answer: StoreAnswer, now_ms: float, audit: AuditTrail
) -> set[str]:
    """Replace the list by a full read; return the names of the endpoints that changed."""
    listed = {e.name: e.endpoint for e in answer.entries if isinstance(e, EndpointEntry)}
    before = endpoints.present_by_name()
    endpoints.replace_all(listed, now_ms)
    present = endpoints.present_by_name()
    changed = {n for n in {*before, *present} if before.get(n) != present.get(n)}
    audit.record(
        "endpoints",
        "read in full",
        cause=f"{len(present)} listed, {len(changed)} changed, {len(changed - set(present))} "
        f"of them gone, newest entry {answer.last_change}, {answer.position}",
        version=answer.position.revision,
    )
    return changed


def apply_changes(endpoints: EndpointList, answer: StoreAnswer, now_ms: float) -> set[str]:
    """Apply the changes that a watch returned; return the names of their endpoints."""
    names: set[str] = set()
    for entry in answer.entries:
        if isinstance(entry, ConfigurationEntry | EvacuationEntry):
            continue
        names.add(entry.name)
        if isinstance(entry, EndpointEntry):
            endpoints.put(entry.name, entry.endpoint, now_ms)
        else:
            endpoints.remove(entry.name, now_ms)
    return names

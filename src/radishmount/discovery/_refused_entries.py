"""Reports entries of the store that name no endpoint, because they are invalid."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from radishmount.audit import AuditTrail
from radishmount.counters import Counters
from radishmount.discovery._store import (
    ConfigurationEntry,
    EndpointEntry,
    EvacuationEntry,
    StoreEntry,
)


__all__ = ["RefusedEntries"]

MAX_REPORTED = 100  # another writer may leave any number of entries


@dataclass(slots=True)
class RefusedEntries:
    """The invalid entries and what is wrong with each, for the first `MAX_REPORTED` of them.

    An entry is reported once for each fault, however often it is written.
    """

    audit: AuditTrail
    counters: Counters
    fault_by_name: dict[str, str] = field(default_factory=dict)

    def record(self, entries: Iterable[StoreEntry]) -> None:
        """Report the entries that were accepted before, or refused for another reason."""
        for entry in entries:
            if isinstance(entry, ConfigurationEntry | EvacuationEntry):
                continue
            fault = entry.fault if isinstance(entry, EndpointEntry) else ""
            if not fault:
                if self.fault_by_name.pop(entry.name, None):
                    self.audit.record(
                        f"entry/{entry.name}", "replaced", cause="read from the store"
                    )
                continue
            self.counters.add("store_entries_refused")
            is_known = entry.name in self.fault_by_name
            if self.fault_by_name.get(entry.name) == fault:
                continue
            if is_known or len(self.fault_by_name) < MAX_REPORTED:
                self.fault_by_name[entry.name] = fault
                self.audit.record(f"entry/{entry.name}", "refused", cause=fault)

"""One endpoint, as it registers itself in the store."""

from dataclasses import dataclass


__all__ = ["ListedEndpoint"]


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """What an endpoint registers. Each start of an endpoint has a `name` of its own.

    `cold_for_ms` is the remaining time for which it is slow after its start; `started_at_ms` is
    wall-clock time.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool = False
    cold_for_ms: float = 0.0
    started_at_ms: int = 0

"""One endpoint as it registers itself."""

from dataclasses import dataclass


__all__ = ["ListedEndpoint"]


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """What an endpoint says of itself. `name` is that of one start of it.

    `cold_for_ms` is how much longer it is slow after its start; `started_at_ms` is a time of day.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool = False
    cold_for_ms: float = 0.0
    started_at_ms: int = 0

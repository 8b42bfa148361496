"""The versions of which an instance tells its peers."""

from dataclasses import dataclass


__all__ = ["HeldVersions"]


@dataclass(frozen=True, slots=True)
class HeldVersions:
    """The versions that this instance holds, as it reports them in heartbeats."""

    bundle_version: int
    bundle_digest: str
    list_version: int
    list_age_ms: float = 0.0
    list_digest: int = 0

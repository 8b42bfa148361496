"""Limits on what callers may send and on how long it may take."""

from dataclasses import dataclass


__all__ = ["DEFAULT_CALLER_LIMITS", "CallerLimits"]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the connections of callers. Times are in milliseconds, sizes in bytes."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 60_000.0


DEFAULT_CALLER_LIMITS = CallerLimits()

"""Bounds what a client sends that is no body: heads, empty lines, trailers, chunk extensions."""

from dataclasses import dataclass


__all__ = ["FramingGuard"]


@dataclass(slots=True)
class FramingGuard:
    """Counts the bytes since a connection last completed a head or sent a part of a body.

    A parser keeps such bytes until it is through, or skips them for as long as they come, so they
    are bounded while they arrive. A legal head, or the framing between two parts of a body, has at
    most `max_bytes`.

        guard = FramingGuard(max_bytes=16_384)
        guard.record(20_000, has_progressed=False)
        assert guard.is_exceeded()
    """

    max_bytes: int
    pending_bytes: int = 0

    def record(self, byte_count: int, *, has_progressed: bool) -> None:
        """Count received bytes; `has_progressed` if they completed a head or had body bytes."""
        self.pending_bytes = 0 if has_progressed else self.pending_bytes + byte_count

    def is_exceeded(self) -> bool:
        """Return whether more has come than any legal head has."""
        return self.pending_bytes > self.max_bytes

"""What one connection of a client holds."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from radishmount.client_memory._limits import CONNECTION_BYTES
from radishmount.codes import Code


if TYPE_CHECKING:
    from radishmount.client_memory._port_account import PortAccount


__all__ = ["Activity", "ConnectionAccount"]


class Activity(StrEnum):
    """What a connection is doing, which decides how it can be ended.

    A connection is `QUEUED` when further requests wait behind the one that is handled.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    QUEUED = "queued"
    RESPONSE = "response"


def _is_idle() -> Activity:
    return Activity.IDLE


def _end_nothing(code: Code) -> None:
    """Do nothing, as there is no connection to end."""


@dataclass(slots=True, eq=False)
class ConnectionAccount:
    """The bytes held for one connection, counted as the process pays for them.

    `progressed_at_ms` is when the client last completed a head, sent a part of a body or took a
    part of a response. `activity` and `evict` are set by the connection; `evict` ends what the
    connection holds, with a refusal for the given reason where one can still be sent. A connection
    that was evicted is `is_closing`, and counts until it is closed.
    """

    port: "PortAccount"
    progressed_at_ms: float
    held_bytes: int = CONNECTION_BYTES
    is_closing: bool = False
    is_closed: bool = False
    activity: Callable[[], Activity] = _is_idle
    evict: Callable[[Code], None] = _end_nothing

    def hold(self, byte_count: int) -> None:
        """Add bytes; if the port then holds too much, some of its connections are evicted."""
        if self.is_closed:
            return
        self.held_bytes += byte_count
        self.port.add(byte_count)

    def release(self, byte_count: int) -> None:
        """Take off bytes that were held before."""
        if self.is_closed:
            return
        self.held_bytes -= byte_count
        self.port.subtract(byte_count)

    def close(self) -> None:
        """Release all that the connection held, and forget the connection itself.

        This is due once its handler has ended, which refers to what was received. The account and
        its connection refer to each other, so both would otherwise keep their memory until the
        cyclic garbage collector has run.
        """
        self.port.close(self)
        self.activity, self.evict = _is_idle, _end_nothing

    def record_progress(self) -> None:
        """Record that the client has just made progress."""
        self.progressed_at_ms = self.port.clock.now_ms()

    def must_wait(self) -> bool:
        """Return whether no more of a body may be read now.

        That is so while the port holds more than a share of its budget, for connections that hold
        more than their fair part of that share.
        """
        return self.port.is_pressed() and self.held_bytes > self.port.fair_bytes()

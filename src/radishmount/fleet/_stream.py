"""The interface to a stream between two instances; the border implements it over TCP."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from result import Result

from radishmount.codes import Refusal
from radishmount.fleet._messages import Frame, PeerIdentity


__all__ = ["OpenPeer", "PeerStream"]


class PeerStream(Protocol):
    """An authenticated stream to one other instance."""

    @property
    def peer(self) -> PeerIdentity:
        """Return the identity of the instance at the other end."""

    def send(self, frame: Frame) -> Result[None, Refusal]:
        """Queue one frame without waiting. If the peer does not read, the stream is closed."""

    async def receive(self) -> Result[Frame, Refusal]:
        """Return the next frame, or why the stream ended. Cancelling the call loses no frame."""

    async def close(self) -> None:
        """Close the stream."""


OpenPeer = Callable[[str, str], Awaitable[Result[PeerStream, Refusal]]]
"""Opens a stream to the instance with a name at an address, and authenticates both ends."""

"""The body of an endpoint's response, on its way to a client's connection."""

from collections.abc import Callable


__all__ = ["MIN_COUNTED_BYTES", "ResponseBody"]

MIN_COUNTED_BYTES = 16_384  # smaller bodies are part of what each connection of a client counts


class ResponseBody(bytes):
    """A body that counts as long as anything refers to it, or until a connection takes it over.

    A reply may lose to that of another attempt, be merged, or wait for its caller. In each case its
    memory is free once the last reference is gone, and `release` is called then.

        body = ResponseBody.counted(content, release)
        body.take_over()  # calls `release`; from now on the connection of the client counts it
    """

    _release: Callable[[], None] | None = None

    @classmethod
    def counted(cls, content: bytes | bytearray, release: Callable[[], None]) -> "ResponseBody":
        """Return a body with this content, which calls `release` when it stops counting."""
        body = cls(content)
        body._release = release
        return body

    def take_over(self) -> None:
        """Stop counting the body; whoever calls this counts it from now on."""
        release, self._release = self._release, None
        if release is not None:
            release()

    def __del__(self) -> None:
        self.take_over()

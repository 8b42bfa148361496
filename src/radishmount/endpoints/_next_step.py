"""What a connection to an endpoint does next."""

from enum import Enum, auto


__all__ = ["NextStep"]


class NextStep(Enum):
    """What a connection does next when it has no attempt to send."""

    PROBE = auto()
    CLOSE = auto()

"""Breaks reference cycles between errors that are kept and the frames that raised them."""

__all__ = ["forget_frames"]


def forget_frames(error: BaseException) -> None:
    """Drop the tracebacks of `error` and of the errors that led to it.

    A connection or a stream that keeps an error refers to all that the frames of its traceback
    refer to, among them itself. Such a cycle stays in memory until the cyclic garbage collector
    has run.
    """
    current: BaseException | None = error
    while current is not None:
        current.__traceback__ = None
        current = current.__cause__ or current.__context__

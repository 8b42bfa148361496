"""Counts the traffic of forwarded requests between data centres."""

from radishmount.counters import Counters
from radishmount.endpoints import Attempt


__all__ = ["count_crossing"]


def count_crossing(attempt: Attempt, own_data_centre: str | None, counters: Counters) -> None:
    """Count an attempt that has ended, by its purpose, if its endpoint is in another data centre.

    The bytes are those on the connection, heads included, without what its protocols add. A
    response that was cut off is not counted.
    """
    request = attempt.request
    if own_data_centre is None or not request.sent_bytes:
        return
    if attempt.endpoint.spec.data_centre == own_data_centre:
        return
    purpose = attempt.purpose.value
    counters.add("crossing_sub_requests", purpose)
    counters.add("crossing_bytes_sent", purpose, request.sent_bytes)
    counters.add("crossing_bytes_received", purpose, request.received_bytes)

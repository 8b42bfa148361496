"""The gate of an order's body."""

from radishmount.clock import Clock
from radishmount.codes import RunStatus
from radishmount.endpoints import SendGate


class Time:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now_ms = 0.0

    def clock(self) -> Clock:
        return Clock(now_ms=lambda: self.now_ms, wall_ms=lambda: 0.0)


class TestSendGate:
    """A body leaves at most once, and never after it was withdrawn."""

    def test_leaves_once(self) -> None:
        gate = SendGate(Time().clock(), 100.0)

        assert gate.release()
        assert not gate.release()

    def test_never_leaves_after_it_was_withdrawn(self) -> None:
        gate = SendGate(Time().clock(), 100.0)

        assert gate.withdraw() is RunStatus.NOT_RUN
        assert not gate.release()
        assert gate.withdraw() is RunStatus.NOT_RUN

    def test_is_unknown_once_it_left(self) -> None:
        gate = SendGate(Time().clock(), 100.0)
        gate.release()

        assert gate.withdraw() is RunStatus.UNKNOWN

    def test_a_process_that_wakes_after_the_deadline_keeps_the_body(self) -> None:
        time = Time()
        gate = SendGate(time.clock(), 100.0)
        time.now_ms = 100.0

        assert not gate.release()
        assert gate.withdraw() is RunStatus.NOT_RUN

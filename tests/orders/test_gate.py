"""`SendGate`, which decides whether the body of an order is sent."""

from radishmount.clock import Clock
from radishmount.codes import RunStatus
from radishmount.endpoints import SendGate


class FakeTime:
    """The time of a clock, which the test sets."""

    def __init__(self) -> None:
        self.now_ms = 0.0

    def clock(self) -> Clock:
        return Clock(now_ms=lambda: self.now_ms, wall_ms=lambda: 0.0)


class TestSendGate:
    """The gate releases the body at most once, and never after it was withdrawn."""

    def test_releases_the_body_once(self) -> None:
        gate = SendGate(FakeTime().clock(), 100.0)

        assert gate.release()
        assert not gate.release()

    def test_never_releases_the_body_after_it_was_withdrawn(self) -> None:
        gate = SendGate(FakeTime().clock(), 100.0)

        assert gate.withdraw() is RunStatus.NOT_RUN
        assert not gate.release()
        assert gate.withdraw() is RunStatus.NOT_RUN

    def test_withdrawing_after_the_release_leaves_the_outcome_unknown(self) -> None:
        gate = SendGate(FakeTime().clock(), 100.0)
        gate.release()

        assert gate.withdraw() is RunStatus.UNKNOWN

    def test_a_process_that_resumes_after_the_deadline_sends_no_body(self) -> None:
        time = FakeTime()
        gate = SendGate(time.clock(), 100.0)
        time.now_ms = 100.0

        assert not gate.release()
        assert gate.withdraw() is RunStatus.NOT_RUN
